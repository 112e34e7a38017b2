package trial

import (
	"context"
	"io/fs"
	"net"
	"os"
	"path"
	"regexp"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"wisteriacroft/examples"
	"wisteriacroft/profile"
	"wisteriacroft/settings"
	"wisteriacroft/standin"
)

// Deployments returns the names of the deployments, in the order in which they
// are run.
func Deployments() []string { return []string{"hathercote", "baitursynov"} }

// exampleAddress matches an address in the settings of a deployment.
var exampleAddress = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// A deployment is the settings and profiles of one of the examples.
type deployment struct {
	attendants []settings.Attendant
	clients    standin.ClientsSettings
	endpoints  standin.EndpointsSettings
	entries    []settings.Entry
	name       string
	platform   standin.PlatformSettings
	profiles   []profile.Profile
}

// readDeployment reads a deployment and replaces its addresses by free ones.
func readDeployment(name string) (deployment, error) {
	de := deployment{name: name}
	files, err := readFiles(name, "*.toml")
	if err != nil {
		return de, err
	}
	if len(files) == 0 {
		return de, errors.Newf("no deployment is named %q", name)
	}
	if err := pickPorts(files); err != nil {
		return de, err
	}
	for _, fi := range files {
		if err := de.read(fi); err != nil {
			return de, err
		}
	}
	return de, de.readProfiles()
}

// A file is one of an example's files.
type file struct {
	name string
	text string
}

// readFiles returns the files of a folder that match a pattern, sorted by name.
func readFiles(dir, pattern string) ([]file, error) {
	names, err := fs.Glob(examples.Files, path.Join(dir, pattern))
	if err != nil {
		return nil, errors.Wrap(err, dir)
	}
	var files []file
	for _, name := range names {
		data, err := examples.Files.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		files = append(files, file{name: name, text: string(data)})
	}
	return files, nil
}

// pickPorts replaces each address in the files by one with a free port. All ports
// stay bound until the last one is picked, so that they differ.
func pickPorts(files []file) error {
	picked := map[string]net.Listener{}
	number := deploymentCount.Add(1)
	defer func() {
		for _, ln := range picked {
			_ = ln.Close()
		}
	}()
	for i := range files {
		for _, address := range exampleAddress.FindAllString(files[i].text, -1) {
			if picked[address] != nil {
				continue
			}
			ln, err := listenFreePort(number)
			if err != nil {
				return errors.Wrap(err, "pick a free port")
			}
			picked[address] = ln
		}
		files[i].text = exampleAddress.ReplaceAllStringFunc(files[i].text, func(address string) string {
			return picked[address].Addr().String()
		})
	}
	return nil
}

// deploymentCount counts the calls of pickPorts in this process.
var deploymentCount atomic.Uint32

// listenFreePort listens on a free port of a loopback address that is unique to
// this process and deployment, or of 127.0.0.1 if that fails. On 127.0.0.1, an
// outgoing connection or another trial could take the port of a killed process
// before its successor binds it, and a concurrent trial in the same process could take a
// port that was picked here but isn't bound yet.
func listenFreePort(number uint32) (net.Listener, error) {
	var lc net.ListenConfig
	pid := os.Getpid()
	own := net.IPv4(127, byte(1+pid/250%250), byte(pid%250), byte(1+number%250))
	ln, err := lc.Listen(context.Background(), "tcp", net.JoinHostPort(own.String(), "0"))
	if err != nil {
		ln, err = lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	}
	return ln, err
}

// read reads a settings file. The prefix of its name determines its type.
func (de *deployment) read(fi file) (err error) {
	data := []byte(fi.text)
	base := path.Base(fi.name)
	switch {
	case strings.HasPrefix(base, "attendant-"):
		var at settings.Attendant
		at, err = settings.ReadAttendant(fi.name, data)
		de.attendants = append(de.attendants, at)
	case strings.HasPrefix(base, "entry-"):
		var en settings.Entry
		en, err = settings.ReadEntry(fi.name, data)
		de.entries = append(de.entries, en)
	case base == "stand-in-endpoints.toml":
		de.endpoints, err = standin.ReadEndpointsSettings(fi.name, data)
	case base == "stand-in-platform.toml":
		de.platform, err = standin.ReadPlatformSettings(fi.name, data)
	case base == "stand-in-trainer.toml":
		de.clients, err = standin.ReadClientsSettings(fi.name, data)
	default:
		err = errors.Newf("%s: unknown settings file", fi.name)
	}
	return err
}

// readProfiles reads and checks the deployment's profiles.
func (de *deployment) readProfiles() error {
	files, err := readFiles(path.Join(de.name, "profiles"), "*.toml")
	if err != nil {
		return err
	}
	for _, fi := range files {
		pr, findings := profile.Parse(strings.TrimSuffix(path.Base(fi.name), ".toml"), fi.name, fi.text)
		if len(findings) > 0 {
			return errors.Newf("%s: %d findings, the first: %s", fi.name, len(findings), findings[0])
		}
		de.profiles = append(de.profiles, pr)
	}
	return profile.Check(de.profiles)
}
