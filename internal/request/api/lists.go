package api

// The methods withNonNilLists replace nil lists of a response, so that an empty
// list is encoded as [] and not as null.

func (r SubmitResponse) withNonNilLists() any {
	r.Pending = nonNil(r.Pending)
	return r
}

func (r StatusResponse) withNonNilLists() any {
	r.VMs = nonNil(r.VMs)
	r.Upstreams = nonNil(r.Upstreams)
	r.Drains = nonNil(r.Drains)
	return r
}

func (r ConnectionExplanation) withNonNilLists() any {
	r.Current = nonNil(r.Current)
	r.Base = nonNil(r.Base)
	r.Reasons = nonNil(r.Reasons)
	return r
}

func (r UpstreamExplanation) withNonNilLists() any {
	r.Reasons = nonNil(r.Reasons)
	r.Observations = nonNil(r.Observations)
	return r
}

func (r SheetExplanation) withNonNilLists() any {
	r.InForce = nonNil(r.InForce)
	r.Pending = nonNil(r.Pending)
	return r
}

func (r VoterResponse) withNonNilLists() any {
	r.Voters = nonNil(r.Voters)
	return r
}

func (r AuditResponse) withNonNilLists() any {
	r.Records = nonNil(r.Records)
	return r
}

func nonNil[T any](s []T) []T {
	if s == nil {
		return []T{}
	}
	return s
}

// response is a result of Control that contains lists.
type response interface {
	withNonNilLists() any
}

// responseBody returns r with empty lists in place of nil lists, or err.
func responseBody(r response, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	return r.withNonNilLists(), nil
}
