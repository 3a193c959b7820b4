package result

import (
	"fmt"
	"slices"
)

// Entry is the description of a code for operators.
type Entry struct {
	Code    Code
	Name    string
	Meaning string
	Action  string
}

// Table returns all registered codes in numeric order.
func Table() []Entry {
	out := make([]Entry, 0, len(table))
	for _, e := range table {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return int(a.Code) - int(b.Code) })
	return out
}

var table = indexByCode([]Entry{
	{OK, "ok", "success", "none"},

	{BadArguments, "bad_arguments", "the command line is not valid", "see --help"},
	{BadSettings, "bad_settings", "the settings file is not valid", "correct the keys listed"},
	{BadSheet, "bad_sheet", "the sheet is not valid; nothing changed", "correct the lines listed"},
	{SheetTooLarge, "sheet_too_large", "the sheet exceeds a size limit", "split or shorten it"},
	{BadAnnouncement, "bad_announcement", "the announcement is not valid", "correct the fields listed"},
	{BadMessage, "bad_message", "a message from a peer could not be decoded", "check that versions match"},
	{UnsupportedProto, "unsupported_protocol", "the protocol is neither TCP nor UDP", "correct the input"},
	{BadRoutes, "bad_routes", "the configuration of routes is not valid; nothing changed", "correct the route named"},
	{UnknownDomain, "unknown_domain", "no failure domain has this name; nothing changed", "check the name"},

	{SheetConflict, "sheet_conflict", "another sheet with this version number is in force", "compare digests, raise the number"},
	{SheetStale, "sheet_stale", "a newer sheet is in force", "export a newer sheet"},
	{UpstreamNotInSheet, "upstream_not_in_sheet", "the sheet does not list this upstream", "add it to the sheet"},
	{IncarnationStale, "incarnation_stale", "a newer incarnation of this upstream is known", "stop the older process"},
	{VoterChangePending, "voter_change_pending", "another voter change is in progress", "wait for it, then repeat"},
	{MemberUnknown, "member_unknown", "no VM of this name is a member", "check the name"},
	{NotFound, "not_found", "the named object does not exist", "check the name"},
	{AddressInUse, "address_in_use", "the address belongs to another live upstream", "correct the address"},
	{MemberNameTaken, "member_name_taken", "another live VM uses this name", "correct the settings"},
	{MemberWithoutDisk, "member_without_disk", "the VM has no data folder and cannot vote", "set data_dir or choose another VM"},
	{ShuttingDown, "shutting_down", "this VM is stopping", "use another VM"},
	{LearnerBehind, "learner_behind", "the learner has not caught up with the log", "wait, then repeat"},
	{QuorumAtRisk, "quorum_at_risk", "the change would leave no live majority of voters", "restore voters first"},
	{IncarnationConflict, "incarnation_conflict", "another process announces the same name and incarnation", "stop one of them"},
	{VersionStale, "version_stale", "the version offered is older than the one held", "none; the newer one stays"},
	{StateDiverged, "state_diverged", "the state of a VM differs from the leader's at the same index", "none; it takes the leader's snapshot; report it"},

	{NoLeader, "no_leader", "no leader is known; nothing was changed", "try again"},
	{NotReady, "not_ready", "this VM holds no version yet", "try again or use another VM"},
	{Unreachable, "unreachable", "no listed VM could be reached; nothing was sent", "check addresses"},
	{Overloaded, "overloaded", "too many requests are waiting; nothing was changed", "try again later"},
	{NotInForceYet, "not_in_force_yet", "accepted, but some VMs have not confirmed", "see status"},

	{OutcomeUnknown, "outcome_unknown", "the answer was lost; the change may be in force", "resend: it is safe"},

	{StorageFailed, "storage_failed", "the disk failed a write or sync", "replace the disk"},
	{StorageCorrupt, "storage_corrupt", "stored state is damaged", "replace the voter"},
	{StorageLocked, "storage_locked", "another process uses the data folder", "stop it first"},
	{StorageFull, "storage_full", "no space left in the data folder", "free space; the log is opened again by itself"},
	{BuildTooOld, "build_too_old", "the replicated log holds an entry of a newer build; nothing was applied or written", "start the newer build on this VM"},

	{BadCertificate, "bad_certificate", "a certificate was rejected", "issue a new one"},
	{NotAuthorized, "not_authorized", "the certificate does not allow this call", "use the right certificate"},
	{KeyMissing, "key_missing", "a key file is missing or unreadable", "run keys init or keys issue"},

	{DropTruncated, "drop_truncated", "packet shorter than its headers", "none"},
	{DropMalformed, "drop_malformed", "packet headers not valid", "none"},
	{DropFragment, "drop_fragment", "IP fragment", "lower the MTU at the caller's side"},
	{DropUnknownService, "drop_unknown_service", "no service at this address", "check sheet and fabric"},
	{DropProtocol, "drop_protocol", "neither TCP nor UDP", "none"},
	{DropNoUpstream, "drop_no_upstream", "no upstream for a connection of unknown age", "check upstream health"},
	{DropInDoubt, "drop_in_doubt", "the owner is unknown and a second upstream must not be used", "none; the caller retries"},
	{DropUpstreamGone, "drop_upstream_gone", "the connection's upstream no longer exists", "none"},
	{DropServiceMismatch, "drop_service_mismatch", "the address now belongs to another service", "none"},
	{DropRelayAuth, "drop_relay_auth", "relay packet with a wrong tag", "check keys"},
	{DropRelayHops, "drop_relay_hops", "relay packet over its hop limit", "none"},
	{DropRelayMalformed, "drop_relay_malformed", "relay packet not valid", "none"},
	{DropNotMember, "drop_not_member", "relay packet from an unknown VM", "check members"},
	{DropNotReady, "drop_not_ready", "packet before the first version", "none"},
	{DropSendFailed, "drop_send_failed", "the socket refused a packet", "check the network"},
	{RefusedFull, "refused_full", "every upstream is at its connection limit", "add upstreams"},
	{RefusedNoUpstream, "refused_no_upstream", "no upstream is eligible", "check upstream health"},
	{DropTableFull, "drop_table_full", "connection table full", "raise the table size"},
	{DropOversize, "drop_oversize", "packet too large to encapsulate", "lower the MTU"},
	{DropUnknownTag, "drop_unknown_tag", "the cookie names an upstream that this VM does not know", "none; the caller retransmits"},
	{DropNoCookie, "drop_no_cookie", "packet of an open connection without a cookie", "none"},
	{DropStale, "drop_stale", "opening packet that may have been queued while the process was stalled", "none; the caller retransmits"},
	{RefusedNoRoute, "refused_no_route", "no route at this address", "check the routes"},
	{DropExpired, "drop_expired", "the caller's timeout ends before an answer can arrive", "none; look for an outage of balancers"},
	{RefusedOverloaded, "refused_overloaded", "the overloaded service is at its concurrency limit, or the attempt would wait too long for room at the upstreams; no request was run", "try again after a second; add upstreams"},
	{RefusedEvacuated, "refused_evacuated", "all upstreams of the service are in evacuated failure domains; no request was run", "end an evacuation or add upstreams elsewhere"},
	{RefusedRegion, "refused_region", "no upstream in a region that the route allows; no request was run", "add upstreams there or change the route"},
	{RefusedCold, "refused_cold", "all upstreams left have just started and take few connections; no request was run", "try again after the service's slow start"},
	{RefusedLinkFull, "refused_link_full", "the network link of the balancer cannot carry the connection; no request was run", "try again after a second; add balancers in the failure domain"},

	{PromiseBroken, "promise_broken", "the demo or an experiment detected the violation of a guarantee", "report it"},
	{Internal, "internal", "a defect in heatherport", "report it"},
})

// indexByCode returns the entries by code. It panics when two entries share a
// code or a name, so that a program with a defective table does not start.
func indexByCode(entries []Entry) map[Code]Entry {
	m := make(map[Code]Entry, len(entries))
	names := make(map[string]Code, len(entries))
	for _, e := range entries {
		if first, ok := m[e.Code]; ok {
			panic(fmt.Sprintf("result code %d is both %s and %s", e.Code, first.Name, e.Name))
		}
		if first, ok := names[e.Name]; ok {
			panic(fmt.Sprintf("result name %s is both %d and %d", e.Name, first, e.Code))
		}
		names[e.Name] = e.Code
		m[e.Code] = e
	}
	return m
}
