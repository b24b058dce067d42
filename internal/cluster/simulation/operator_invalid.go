package simulation

// InvalidChange is a kind of invalid change of the configuration.
type InvalidChange int

// Kinds of invalid changes.
const (
	TruncatedBody InvalidChange = iota
	UnknownService
	DuplicateRoute // two routes of the same host and path prefix
	ZeroTimeout
	OldVersion      // a version lower than the current one
	SameVersion     // the current version with other content
	StaleBase       // on top of another version than the current one
	DanglingService // an update that removes a service to which routes refer

	invalidChanges // number of kinds
)

// SubmitInvalid sends a change of a kind that the scheduler must reject. It sends no change while another change is in
// flight, and before the first configuration is acknowledged.
func (o *Operator) SubmitInvalid(kind InvalidChange) {
	if o.current == nil || o.inFlight > 0 {
		return
	}
	const versionGap = 50 // so far above the newest version that no concurrent valid change has the same version
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
