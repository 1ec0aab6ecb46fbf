package org.arbutusfield.model;

import com.fasterxml.jackson.annotation.JsonIgnore;

/** One item of a configuration. Items of one kind have distinct keys; equality is by value. */
public sealed interface Entity
        permits Region, FailureDomain, Site, Link, Service, Upstream, ShiftCap, MoveRule, Drain, ClientBlock {

    /** The kind of the item. */
    @JsonIgnore
    Kind kind();

    /** The key of the item within its kind; it does not change when the item is changed. */
    @JsonIgnore
    String key();
}
