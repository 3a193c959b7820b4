// Package owner decides which upstream the packets of a connection go to. An
// Engine is a deterministic step function: time, packets and messages come in
// as arguments, decisions and messages go out as values.
//
// # Roles
//
// Connection hashes fall into slots. The owner of a slot decides about its
// connections, and its standby takes over when the owner is lost. Both follow
// from Owners.Current by rendezvous hashing. Any other member relays packets
// of connections that it does not know to the owner, and stores the connection
// from the hint that the owner sends back. That entry is a lease: the member
// forwards by it, and periodically refreshes the owner's entry.
//
// # Exceptions
//
// A connection whose upstream is the first choice of its bucket under Base
// (and under NextBase while one is being prepared) needs no replication: any
// member computes its upstream. Every other connection is an exception. Its
// opening packet travels through the standby, which records the exception
// before it forwards the packet. Batches, which are sequenced, acknowledged and
// resent, bring the exception to the standby again and to the owner and standby
// under Owners.Next. Batches are sent within a byte budget. When exceptions
// cost more than the budget, they queue, the load limit of the choice rises so
// that fewer connections deviate, and Settled does not advance.
//
// # Invariants
//
//  1. At most one member decides about connections of a slot that have no
//     entry. Let A be the owner under epoch E, X the owner under E+1, and Y
//     any other member.
//     - Neither A nor X has applied E+1: A decides; X and Y relay to A.
//     - X has applied, A has not: X has not received the slot and relays to
//     A, which decides. Y relays to A or to X, depending on its own epoch.
//     - A has applied, X has not: A does not decide about connections that it
//     does not know but relays them with RelayHandover, and X must decide. X
//     relays what it receives from the fabric to A, which relays it back
//     with RelayHandover.
//     - Both have applied: X relays to A until A's Handover message arrives,
//     and A returns what it does not know with RelayHandover. A sends the
//     Handover only when X has acknowledged every exception of the slots.
//  2. For the SYN retransmit window after E+1, X asks A about opening packets
//     even after the handover: A may have forwarded the first copy to the
//     base.
//  3. A also sends X every connection of the slots that has no exception, and
//     then a complete Handover. Only an owner that knows all connections of
//     its slots can replicate exceptions to a base being prepared. A base may
//     therefore advance only when SettledBase of every member has reached both
//     the version that prepared it and the last one that changed owners.
//  4. If A is no longer a member, X decides at once with the exceptions that
//     it holds as the standby. Opening packets go to the base's first choice
//     while that upstream takes new connections. If it stopped doing so within
//     the SYN retransmit window, packets of a non-idempotent service are
//     dropped. They are also dropped if A's standby was lost before A, because
//     exceptions may be missing. X knows all connections again after the
//     longest idle timeout, when each live connection has sent a packet.
//  5. A packet takes at most MaxRelayHops relays, so members that disagree
//     about the owner cannot relay it in a loop. The receiver of RelayRecord
//     or RelayHandover decides and does not relay further.
//  6. A member that neither is the owner nor can reach it decides only as the
//     standby, or alone if it cannot reach the standby either. It uses
//     entries, exceptions and the base, opens connections of idempotent
//     services by the ranking without load, and drops opening packets of
//     other services.
//  7. An entry holds an upstream ID. Its address and service are resolved in
//     the current version just before sending.
//  8. A connection is refused only by an owner that, for the whole SYN
//     retransmit window, has owned the slot, received messages from every
//     member and evicted nothing, while no member reports that it has decided
//     without the owner.
//  9. The counts of an upstream lag by at most one report. Its connection
//     limit is overshot by at most what the other owners open in that time
//     beyond what the estimate assumes for them.
package owner
