/**
 * The settings file of an entry host: the definitions of all settings, the validating reader and the immutable result.
 */
package org.arbutusfield.settings;
