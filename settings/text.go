package settings

import (
	"net/netip"
	"net/url"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// maxNameLength bounds names, which are used in keys, labels and headers.
const maxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// The text types are structs: the TOML codec does not call UnmarshalText for types whose
// kind is string.

// A name is an identifier such as "coventry-entry-1".
type name struct{ text string }

// UnmarshalText implements encoding.TextUnmarshaler.
func (na *name) UnmarshalText(text []byte) error {
	if len(text) > maxNameLength || !namePattern.Match(text) {
		return errors.Newf(
			"%q is not a name: write up to %d lower-case letters, digits, dots, dashes and underscores",
			text, maxNameLength)
	}
	na.text = string(text)
	return nil
}

// An ipPort is an IP address with a port.
type ipPort struct{ netip.AddrPort }

// UnmarshalText implements encoding.TextUnmarshaler.
func (ip *ipPort) UnmarshalText(text []byte) error {
	parsed, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return errors.Newf("%q is not an IP:port: write an IP number and a port, such as \"10.0.0.5:7100\"", text)
	}
	ip.AddrPort = parsed
	return nil
}

// A baseURL is a service's URL without a path suffix.
type baseURL struct{ text string }

// UnmarshalText implements encoding.TextUnmarshaler.
func (ba *baseURL) UnmarshalText(text []byte) error {
	parsed, err := url.Parse(string(text))
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return badURL(text)
	}
	if _, err := netip.ParseAddrPort(parsed.Host); err != nil || parsed.RawQuery != "" || parsed.Fragment != "" {
		return badURL(text)
	}
	ba.text = strings.TrimRight(string(text), "/")
	return nil
}

// badURL returns the error for an invalid base URL.
func badURL(text []byte) error {
	return errors.Newf("%q is not a base URL: write http or https, an IP number and a port, such as \"http://10.0.0.5:2379\"", text)
}

// A logLevel is the name of a logrus level.
type logLevel struct{ text string }

// UnmarshalText implements encoding.TextUnmarshaler.
func (lo *logLevel) UnmarshalText(text []byte) error {
	if _, err := logrus.ParseLevel(string(text)); err != nil {
		return errors.Newf("%q is not a log level: write error, warning, info or debug", text)
	}
	lo.text = string(text)
	return nil
}

// A logFormat decodes a LogFormat.
type logFormat struct{ value LogFormat }

// UnmarshalText implements encoding.TextUnmarshaler.
func (lo *logFormat) UnmarshalText(text []byte) error {
	return choose(&lo.value, text, JSONLog, TextLog)
}

// An endpointKind decodes a Kind.
type endpointKind struct{ value Kind }

// UnmarshalText implements encoding.TextUnmarshaler.
func (en *endpointKind) UnmarshalText(text []byte) error {
	return choose(&en.value, text, EngineKind, PlainKind)
}

// A processRole decodes a Role.
type processRole struct{ value Role }

// UnmarshalText implements encoding.TextUnmarshaler.
func (pr *processRole) UnmarshalText(text []byte) error {
	return choose(&pr.value, text, AttendantRole, EntryRole)
}

// choose sets the target to the choice that equals text, or fails.
func choose[T ~string](to *T, text []byte, choices ...T) error {
	names := make([]string, len(choices))
	for i, ch := range choices {
		if string(ch) == string(text) {
			*to = ch
			return nil
		}
		names[i] = string(ch)
	}
	return errors.Newf("%q is unknown: write %s", text, strings.Join(names, " or "))
}
