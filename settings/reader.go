package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"wisteriacroft/document"
	"wisteriacroft/finding"
	"wisteriacroft/unit"
)

// minLeaseTTL keeps the safety margin of a lease, a sixth of its TTL, above the
// lifetime of an attendant's token (rollout.DefaultTokenLife).
const minLeaseTTL = unit.Duration(8 * time.Second)

// minTicksPerLease is the minimum number of ticks in a lease's TTL. With fewer, one
// late tick would let the lease expire and ownership would flap.
const minTicksPerLease = 10

// A reader reads the settings of one role and collects findings.
type reader struct {
	do       *document.Document
	findings finding.List
	role     Role
}

// decode decodes the defaults and then the document into raw. It returns an error if
// the document cannot be checked further.
func (re *reader) decode(file string, data []byte, raw any) error {
	if err := toml.Unmarshal(defaults(re.role), raw); err != nil {
		return errors.Wrap(err, "decode the defaults")
	}
	re.do = document.Read(file, data, raw, &re.findings)
	if re.do.Broken() {
		return re.err()
	}
	return nil
}

// err returns nil or a *finding.Error with all findings, sorted by line.
func (re *reader) err() error {
	slices.SortStableFunc(re.findings.All(), func(fi, other finding.Finding) int {
		return cmp.Compare(fi.Line(), other.Line())
	})
	return re.findings.Err()
}

// checkRequired reports required keys that are missing in the document.
func (re *reader) checkRequired(endpoints int) {
	for _, ke := range keys {
		if !ke.required || !ke.appliesTo(re.role) {
			continue
		}
		if !strings.HasPrefix(ke.name, endpointTable+".") {
			re.require(ke.name)
			continue
		}
		for i := range endpoints {
			re.require(ke.elementKey(i))
		}
	}
}

// require reports a key that is missing in the document.
func (re *reader) require(key string) {
	if !re.do.Has(key) && !re.do.Faulty(key) {
		re.do.Add(key, "is missing")
	}
}

// checkProcess checks the keys that both roles share.
func (re *reader) checkProcess(ra rawProcess) {
	if ra.Role.value != "" && ra.Role.value != re.role {
		re.do.Add("role", "is %q in a file read by the command %q", ra.Role.value, re.role)
	}
	re.requirePositive("shutdown-grace", ra.ShutdownGrace)
	re.requirePositive("tick-interval", ra.TickInterval)
	re.requirePositive("lease.ttl", ra.Lease.TTL)
	if ra.Lease.TTL < minTicksPerLease*ra.TickInterval {
		re.do.Add("lease.ttl", "is %s, less than %d times the tick-interval of %s",
			ra.Lease.TTL, minTicksPerLease, ra.TickInterval)
	}
	if ra.Lease.TTL > 0 && ra.Lease.TTL < minLeaseTTL {
		re.do.Add("lease.ttl", "is %s, less than %s: a former owner's command could still be accepted after the lease expires",
			ra.Lease.TTL, minLeaseTTL)
	}
	re.requireAbsolute("data-folder", ra.DataFolder)
	re.requireAbsolute("trace.file", ra.Trace.File)
	re.checkAddresses(ra)
	re.checkTrace(ra.Trace)
}

// checkAddresses checks the addresses of the process for conflicts.
func (re *reader) checkAddresses(ra rawProcess) {
	if ra.Listen.IsValid() && ra.Listen.Port() != 0 && ra.Listen == ra.AdminListen {
		re.do.Add("admin-listen", "is %s, the same as listen", ra.AdminListen)
	}
	if ra.Advertise.IsValid() && (ra.Advertise.Addr().IsUnspecified() || ra.Advertise.Port() == 0) {
		re.do.Add("advertise", "is %s, which no other process can reach", ra.Advertise)
	}
	if ra.Listen.IsValid() && ra.Listen.Addr().IsUnspecified() && !re.do.Has("advertise") {
		re.do.Add("advertise", "is missing, and listen is %s, which no other process can reach", ra.Listen)
	}
}

// checkTrace checks the settings of tracing.
func (re *reader) checkTrace(ra rawTrace) {
	if ra.File != "" && ra.OTLPAddress.text != "" {
		re.do.Add("trace.file", "is set together with trace.otlp-address: only one of them may be set")
	}
	if !(ra.Ratio >= 0 && ra.Ratio <= 1) { // also true for NaN
		re.do.Add("trace.ratio", "is %v, not from 0 to 1", ra.Ratio)
	}
}

// requirePositive reports a duration that is not positive.
func (re *reader) requirePositive(key string, du unit.Duration) {
	if du <= 0 {
		re.do.Add(key, "is %s, not positive", du)
	}
}

// requireAbsolute reports a path that is not absolute.
func (re *reader) requireAbsolute(key, path string) {
	if path != "" && !filepath.IsAbs(path) {
		re.do.Add(key, "%q is not an absolute path", path)
	}
}

// peerAddresses parses the addresses of other processes and reports those that are
// invalid, unreachable or duplicate.
func (re *reader) peerAddresses(key string, texts []string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for i, text := range texts {
		place := fmt.Sprintf("%s[%d]", key, i)
		var ip ipPort
		if err := ip.UnmarshalText([]byte(text)); err != nil {
			re.do.Add(place, "%s", err)
			continue
		}
		switch {
		case ip.Addr().IsUnspecified() || ip.Port() == 0:
			re.do.Add(place, "is %s, which no process can reach", ip)
		case slices.Contains(addresses, ip.AddrPort):
			re.do.Add(place, "is %s, which is already in the list", ip)
		default:
			addresses = append(addresses, ip.AddrPort)
		}
	}
	return addresses
}
