/** Control messages between hosts: Thrift structs in length-prefixed frames over TCP. */
package org.arbutusfield.wire;
