// Package owner decides which upstream the packets of a connection go to. An
// Engine is a deterministic step function: time, packets and messages come in
// as arguments, decisions and messages go out as values.
//
// # Roles
//
// Connection hashes fall into slots. The owner of a slot decides about its
// connections, its standby takes over when the owner is lost; both follow from
// Owners.Current by rendezvous hashing. Any other member relays what it does
// not know to the owner and learns the connection from the hint that comes
// back. Its entry is a lease: it forwards by it, and refreshes the owner's
// entry from time to time.
//
// # Exceptions
//
// A connection whose upstream is the first choice of its bucket under Base
// (and under NextBase while one is being prepared) needs no replication: any
// member computes its upstream. Every other connection is an exception. Its
// opening packet travels through the standby, which records the exception
// before it forwards the packet, and batches in sequence, acknowledged and
// repeated, bring the exception to the standby again and to the owner and
// standby under Owners.Next. Batches are sent within a byte budget. When
// exceptions cost more than the budget, they queue, the limit of the choice
// loosens so that fewer connections deviate, and Settled waits.
//
// # Invariants
//
//  1. A slot has at most one tenure: the member that decides about connections
//     without an entry. Let A be the owner under epoch E, X the owner under
//     E+1, and Y any other member.
//     - Neither A nor X has applied E+1: A decides; X and Y relay to A.
//     - X has applied, A has not: X has no tenure and relays to A, which
//     decides. Y relays to A or to X by its own epoch.
//     - A has applied, X has not: A does not decide about what it does not
//     know but relays it with RelayTenure, and X must decide. X relays what
//     it gets from the fabric to A, which returns it so.
//     - Both have applied: X relays to A until A's Tenure message arrives,
//     and A returns what it does not know with RelayTenure. A sends Tenure
//     only when X has acknowledged every exception of the slots.
//  2. For the SYN horizon after E+1, X asks A about opening packets even when
//     it holds the tenure: A may have forwarded the first copy to the base.
//  3. A also sends X every connection of the slots that has no exception, and
//     then a complete Tenure. Only an owner that knows all connections of its
//     slots can replicate exceptions to a base being prepared. A base may
//     therefore advance only when SettledBase of every member has reached both
//     the version that prepared it and the last one that changed owners.
//  4. If A is no longer a member, X decides at once with the exceptions that
//     it holds as the standby. Opening packets go to the base's first choice
//     while that takes connections. If it stopped doing so within the SYN
//     horizon, packets of a non-idempotent service are dropped. So they are
//     if A's standby was lost before A, because exceptions may be missing. X
//     knows all connections again when each of them has had to send a packet.
//  5. A packet takes at most MaxRelayHops relays, so no disagreement loops.
//     RelayRecord and RelayTenure end the walk: their receiver decides.
//  6. A member that neither is the owner nor hears it decides only as the
//     standby, or alone if it hears no standby either. It follows entries,
//     exceptions and the base, opens connections of idempotent services by
//     the plain ranking, and drops opening packets of other services.
//  7. An entry names an upstream identity. Its address and service are
//     resolved in the current version just before sending.
//  8. A connection is refused only by an owner that has held the slot, heard
//     every member and evicted nothing for the SYN horizon, while no member
//     reports that it has decided without the owner.
//  9. The counts of an upstream lag by at most one report. Its connection
//     limit is overshot by at most what the other owners open in that time
//     beyond what the estimate assumes for them.
package owner
