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

// minLeaseTTL keeps a lease's margin, a sixth of its time to live, above the
// time for which an attendant's token holds (rollout.DefaultTokenLife).
const minLeaseTTL = unit.Duration(8 * time.Second)

// minTicksPerLease is how many ticks fit into a lease's time to live at least.
// With fewer, a tick that comes a little late would find the lease expired, and
// ownership would move back and forth.
const minTicksPerLease = 10

// A reader reads the settings of one role and collects what is wrong.
type reader struct {
	do       *document.Document
	findings finding.List
	role     Role
}

// decode fills raw with the defaults and then with the document. It returns an
// error for a document that cannot be checked further.
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

// err returns nil or a *finding.Error with all findings, by line.
func (re *reader) err() error {
	slices.SortStableFunc(re.findings.All(), func(fi, other finding.Finding) int {
		return cmp.Compare(fi.Line(), other.Line())
	})
	return re.findings.Err()
}

// missing reports the required keys that are not in the document.
func (re *reader) missing(endpoints int) {
	for _, ke := range keys {
		if !ke.required || !ke.of(re.role) {
			continue
		}
		if !strings.HasPrefix(ke.name, endpointTable+".") {
			re.require(ke.name)
			continue
		}
		for i := range endpoints {
			re.require(ke.placed(i))
		}
	}
}

// require reports a key that is not in the document.
func (re *reader) require(key string) {
	if !re.do.Has(key) && !re.do.Faulty(key) {
		re.do.Add(key, "is missing")
	}
}

// process checks the keys that every role has.
func (re *reader) process(ra rawProcess) {
	if ra.Role.value != "" && ra.Role.value != re.role {
		re.do.Add("role", "is %q in a file read by the command %q", ra.Role.value, re.role)
	}
	re.positive("shutdown-grace", ra.ShutdownGrace)
	re.positive("tick-interval", ra.TickInterval)
	re.positive("lease.ttl", ra.Lease.TTL)
	if ra.Lease.TTL < minTicksPerLease*ra.TickInterval {
		re.do.Add("lease.ttl", "is %s, less than %d times the tick-interval of %s",
			ra.Lease.TTL, minTicksPerLease, ra.TickInterval)
	}
	if ra.Lease.TTL > 0 && ra.Lease.TTL < minLeaseTTL {
		re.do.Add("lease.ttl", "is %s, less than %s: an order of a former owner could still be taken after it",
			ra.Lease.TTL, minLeaseTTL)
	}
	re.absolute("data-folder", ra.DataFolder)
	re.absolute("trace.file", ra.Trace.File)
	re.addresses(ra)
	re.trace(ra.Trace)
}

// addresses checks the addresses of the process against each other.
func (re *reader) addresses(ra rawProcess) {
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

// trace checks where spans go.
func (re *reader) trace(ra rawTrace) {
	if ra.File != "" && ra.OTLPAddress.text != "" {
		re.do.Add("trace.file", "stands together with trace.otlp-address: spans go to one of them")
	}
	if !(ra.Ratio >= 0 && ra.Ratio <= 1) { // also true of NaN
		re.do.Add("trace.ratio", "is %v, not from 0 to 1", ra.Ratio)
	}
}

// positive reports a duration that is not positive.
func (re *reader) positive(key string, du unit.Duration) {
	if du <= 0 {
		re.do.Add(key, "is %s, not positive", du)
	}
}

// absolute reports a path that is not absolute.
func (re *reader) absolute(key, path string) {
	if path != "" && !filepath.IsAbs(path) {
		re.do.Add(key, "%q is no absolute path", path)
	}
}

// reachable returns addresses of other processes and reports those that none
// can reach.
func (re *reader) reachable(key string, texts []string) []netip.AddrPort {
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
			re.do.Add(place, "is %s, which stands in the list already", ip)
		default:
			addresses = append(addresses, ip.AddrPort)
		}
	}
	return addresses
}
