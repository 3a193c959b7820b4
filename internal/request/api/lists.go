package api

// In an answer, a list without elements is [] and not null.

func (r SubmitResponse) withLists() any {
	r.Pending = list(r.Pending)
	return r
}

func (r StatusResponse) withLists() any {
	r.VMs = list(r.VMs)
	r.Upstreams = list(r.Upstreams)
	r.Drains = list(r.Drains)
	return r
}

func (r ConnectionExplanation) withLists() any {
	r.Current = list(r.Current)
	r.Base = list(r.Base)
	r.Reasons = list(r.Reasons)
	return r
}

func (r UpstreamExplanation) withLists() any {
	r.Reasons = list(r.Reasons)
	r.Observations = list(r.Observations)
	return r
}

func (r SheetExplanation) withLists() any {
	r.InForce = list(r.InForce)
	r.Pending = list(r.Pending)
	return r
}

func (r VoterResponse) withLists() any {
	r.Voters = list(r.Voters)
	return r
}

func (r AuditResponse) withLists() any {
	r.Records = list(r.Records)
	return r
}

func list[T any](s []T) []T {
	if s == nil {
		return []T{}
	}
	return s
}

// answer is what a Control answers.
type answer interface {
	withLists() any
}

// answered returns the body of an answer.
func answered(a answer, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	return a.withLists(), nil
}
