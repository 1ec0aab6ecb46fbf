/** Answers to callers that ask which entry hosts to use: client blocks, live hosts and the order of both. */
package org.arbutusfield.lookup;
