/** The running state that operators declare: immutable items, each known by its kind and key. */
package org.arbutusfield.model;
