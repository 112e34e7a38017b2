package settings

import (
	"strings"

	"wisteriacroft/unit"
)

// A rawProcess holds the decoded keys that both roles share.
type rawProcess struct {
	AdminListen   ipPort        `toml:"admin-listen"`
	Advertise     ipPort        `toml:"advertise"`
	DataFolder    string        `toml:"data-folder"`
	FailureDomain name          `toml:"failure-domain"`
	Instance      name          `toml:"instance"`
	Lease         rawLease      `toml:"lease"`
	Listen        ipPort        `toml:"listen"`
	Log           rawLog        `toml:"log"`
	Platform      rawPlatform   `toml:"platform"`
	Region        name          `toml:"region"`
	Role          processRole   `toml:"role"`
	ShutdownGrace unit.Duration `toml:"shutdown-grace"`
	TickInterval  unit.Duration `toml:"tick-interval"`
	Trace         rawTrace      `toml:"trace"`
}

type rawLease struct {
	TTL unit.Duration `toml:"ttl"`
}

type rawLog struct {
	Format logFormat `toml:"format"`
	Level  logLevel  `toml:"level"`
}

type rawPlatform struct {
	InstanceList baseURL `toml:"instance-list"`
	KeyValue     baseURL `toml:"key-value"`
	WeightStore  baseURL `toml:"weight-store"`
}

type rawTrace struct {
	File        string  `toml:"file"`
	OTLPAddress baseURL `toml:"otlp-address"`
	Ratio       float64 `toml:"ratio"`
}

// A rawEntry holds the decoded settings of an entry.
type rawEntry struct {
	rawProcess

	Peers []string `toml:"peers"`
}

// A rawAttendant holds the decoded settings of an attendant.
type rawAttendant struct {
	rawProcess

	Endpoints []rawEndpoint `toml:"endpoint"`
	Entries   []string      `toml:"entries"`
}

type rawEndpoint struct {
	Address baseURL      `toml:"address"`
	Kind    endpointKind `toml:"kind"`
	Name    name         `toml:"name"`
	Service name         `toml:"service"`
}

// defaults returns a TOML document with the defaults of a role's keys. The reader
// decodes it before the operator's document.
func defaults(ro Role) []byte {
	var sb strings.Builder
	table := ""
	for _, ke := range keys {
		if ke.fallback == "" || !ke.appliesTo(ro) || strings.HasPrefix(ke.name, endpointTable+".") {
			continue
		}
		name := ke.name
		if cut := strings.LastIndexByte(name, '.'); cut >= 0 {
			if name[:cut] != table {
				table = name[:cut]
				sb.WriteString("[" + table + "]\n")
			}
			name = name[cut+1:]
		}
		sb.WriteString(name + " = " + ke.fallback + "\n")
	}
	return []byte(sb.String())
}

// process converts the settings that both roles share.
func (ra rawProcess) process() Process {
	pr := Process{
		adminListen:   ra.AdminListen.AddrPort,
		advertise:     ra.Advertise.AddrPort,
		dataFolder:    ra.DataFolder,
		failureDomain: ra.FailureDomain.text,
		instance:      ra.Instance.text,
		leaseTTL:      ra.Lease.TTL.Std(),
		listen:        ra.Listen.AddrPort,
		log:           Log{format: ra.Log.Format.value, level: ra.Log.Level.text},
		platform: Platform{
			instanceList: ra.Platform.InstanceList.text,
			keyValue:     ra.Platform.KeyValue.text,
			weightStore:  ra.Platform.WeightStore.text,
		},
		region:        ra.Region.text,
		role:          ra.Role.value,
		shutdownGrace: ra.ShutdownGrace.Std(),
		tickInterval:  ra.TickInterval.Std(),
		trace: Trace{
			file:        ra.Trace.File,
			otlpAddress: ra.Trace.OTLPAddress.text,
			ratio:       ra.Trace.Ratio,
		},
	}
	if !pr.advertise.IsValid() {
		pr.advertise = pr.listen
	}
	return pr
}
