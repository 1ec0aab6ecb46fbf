/** The configuration that operators declare: immutable items, each identified by its kind and key. */
package org.arbutusfield.model;
