package org.arbutusfield.model;

import com.fasterxml.jackson.annotation.JsonIgnore;

/** One item of the running state. Items of one kind have distinct keys; equality is by value. */
public sealed interface Entity
        permits Region, FailureDomain, Site, Link, Service, Upstream, ShiftCap, MoveRule, Drain, ClientBlock {

    /** The table that the item belongs to. */
    @JsonIgnore
    Kind kind();

    /** The item's name within its kind; stable over changes. */
    @JsonIgnore
    String key();
}
