package simulation

// InvalidChange is a way in which a change of the configuration is wrong.
type InvalidChange int

// Ways in which a change is wrong.
const (
	TruncatedBody InvalidChange = iota
	UnknownService
	DuplicateRoute // two routes of the same host and path prefix
	ZeroTimeout
	OldVersion      // lower than that in force
	SameVersion     // that in force, with other content
	StaleBase       // built on a version that is not in force
	DanglingService // an update that removes a service that routes refer to

	invalidChanges // their number
)

// SubmitInvalid sends a change that must be rejected. It does nothing while another change is in flight.
func (o *Operator) SubmitInvalid(kind InvalidChange) {
	if o.current == nil || o.inFlight > 0 {
		return
	}
	const versionGap = 50 // which valid changes of the same time don't reach
	base, next := o.current.Version, o.current.clone()
	next.Version = o.version + versionGap
	invalid := &change{kind: ReplaceDocument, result: next}
	body := ""
	switch kind {
	case TruncatedBody:
		complete := mustJSON(next)
		body = complete[:len(complete)*2/3]
	case UnknownService:
		next.Routes[0].Service = "nobody"
	case DuplicateRoute:
		twin := next.Routes[0]
		twin.Name = "twin"
		next.Routes = append(next.Routes, twin)
	case ZeroTimeout:
		next.Routes[0].TimeoutMs = 0
	case OldVersion:
		next.Version = base - 1
	case SameVersion:
		next.Version = base
		next.Routes[0].TimeoutMs++
	case StaleBase:
		base--
		next.Routes[0].TimeoutMs++
	case DanglingService:
		invalid.kind = UpdateItems
		body = mustJSON(&Update{Version: next.Version, Remove: removes{Services: []string{next.Services[0].Name}}})
	}
	if body == "" {
		body = mustJSON(next)
	}
	invalid.record = o.newRecord(next.Version, base, body)
	invalid.record.Invalid = true
	o.submit(invalid)
}
