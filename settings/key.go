package settings

import "fmt"

// A keyType is the type of a key's value.
type keyType string

// The types of values. All but bool, number and the list are TOML strings.
const (
	boolType     keyType = "bool"
	choiceType   keyType = "choice"
	durationType keyType = "duration"
	ipPortType   keyType = "IP:port"
	ipPortsType  keyType = "list of IP:port"
	nameType     keyType = "name"
	numberType   keyType = "number"
	pathType     keyType = "absolute path"
	urlType      keyType = "base URL"
)

// unit returns the units of values of the type.
func (ke keyType) unit() string {
	if ke == durationType {
		return "ms, s, m, h"
	}
	return "none"
}

// A key describes one key of a settings file. The reader takes the defaults from
// it, and the reference for operators its rows.
type key struct {
	doc      string
	fallback string // default, in TOML; "" if there is none
	name     string
	role     Role // the role that has the key; "" if both have it
	required bool
	typ      keyType
}

// endpointTable is the key of the array of tables of an attendant's endpoints.
const endpointTable = "endpoint"

// keys lists every key of a settings file. Top-level keys come first, since in TOML
// they cannot follow a table.
var keys = []key{
	{
		name: "role", typ: choiceType, required: true,
		doc: "What the process does: `entry` or `attendant`. A file given to the wrong command is refused.",
	},
	{
		name: "instance", typ: nameType, required: true,
		doc: "Id of the instance, unique in the fleet and the same as in the platform's instance list.",
	},
	{
		name: "failure-domain", typ: nameType, required: true,
		doc: "Failure domain in which the process runs.",
	},
	{
		name: "region", typ: nameType, required: true,
		doc: "Region that holds the failure domain.",
	},
	{
		name: "listen", typ: ipPortType, required: true,
		doc: "Address for callers, trainers and other processes. Port 0 picks a free port, for tests.",
	},
	{
		name: "advertise", typ: ipPortType,
		doc: "Address at which other processes reach this one. Without it, the value of `listen`; required if `listen` is 0.0.0.0 or [::].",
	},
	{
		name: "admin-listen", typ: ipPortType, required: true,
		doc: "Address of `/metrics`, `/healthz` and `/readyz`. Keep it inside the platform's network.",
	},
	{
		name: "data-folder", typ: pathType, fallback: `""`,
		doc: "Folder for bulk data. Without it the process keeps nothing.",
	},
	{
		name: "shutdown-grace", typ: durationType, fallback: `"30s"`,
		doc: "How long a graceful shutdown may take before running requests are aborted. Longer than the longest request, and shorter than the platform waits before it kills the process.",
	},
	{
		name: "tick-interval", typ: durationType, fallback: `"20ms"`,
		doc: "Interval between two ticks of the decision logic. Shorter decides sooner and costs processor time.",
	},
	{
		name: "peers", typ: ipPortsType, fallback: `[]`, role: EntryRole,
		doc: "Other entries to contact while the instance list is unavailable.",
	},
	{
		name: "entries", typ: ipPortsType, fallback: `[]`, role: AttendantRole,
		doc: "Entries to report to while the instance list is unavailable.",
	},
	{
		name: "platform.key-value", typ: urlType, required: true,
		doc: "Key-value service.",
	},
	{
		name: "platform.instance-list", typ: urlType, required: true,
		doc: "Instance list.",
	},
	{
		name: "platform.weight-store", typ: urlType, required: true,
		doc: "Weight store.",
	},
	{
		name: "lease.ttl", typ: durationType, fallback: `"10s"`,
		doc: "Time to live of the leases of batch owners and rollout owners. Shorter replaces a dead owner sooner; longer tolerates a slower key-value service. At least 8s, and ten ticks.",
	},
	{
		name: "log.level", typ: choiceType, fallback: `"info"`,
		doc: "Minimum level that is logged: `error`, `warning`, `info` or `debug`.",
	},
	{
		name: "log.format", typ: choiceType, fallback: `"json"`,
		doc: "Format of log lines on standard error: `json` or `text`.",
	},
	{
		name: "trace.otlp-address", typ: urlType,
		doc: "OTLP/HTTP collector that receives the spans. Without it and `trace.file`, tracing is off.",
	},
	{
		name: "trace.file", typ: pathType, fallback: `""`,
		doc: "File to which spans are appended as lines of JSON. It cannot be combined with `trace.otlp-address`.",
	},
	{
		name: "trace.ratio", typ: numberType, fallback: `1.0`,
		doc: "Fraction of traces that are sampled, from 0 to 1. A trace that a caller started keeps the caller's sampling decision.",
	},
	{
		name: endpointTable + ".name", typ: nameType, required: true, role: AttendantRole,
		doc: "Name of the endpoint, unique in the fleet.",
	},
	{
		name: endpointTable + ".service", typ: nameType, required: true, role: AttendantRole,
		doc: "Service to which the endpoint belongs, as profiles name it.",
	},
	{
		name: endpointTable + ".kind", typ: choiceType, required: true, role: AttendantRole,
		doc: "`engine` for a model engine, `plain` for a plain service.",
	},
	{
		name: endpointTable + ".address", typ: urlType, required: true, role: AttendantRole,
		doc: "Base URL of the endpoint.",
	},
}

// appliesTo reports whether a role has the key.
func (ke key) appliesTo(ro Role) bool { return ke.role == "" || ke.role == ro }

// elementKey returns the key's dotted name in an element of the endpoint array.
func (ke key) elementKey(element int) string {
	return fmt.Sprintf("%s[%d]%s", endpointTable, element, ke.name[len(endpointTable):])
}
