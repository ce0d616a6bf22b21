package settings

import (
	"net"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// Process holds the settings that all processes share.
type Process struct {
	// VM is the name of the virtual machine on which the process runs.
	VM ident.VM `json:"vm"`
	// Domain is the VM's failure domain.
	Domain ident.Domain `json:"domain"`
	// Link is the IP address and port on which the process accepts links from
	// other processes.
	Link string `json:"link"`
	// Advertise is the IP address and port at which other processes reach the
	// process, if it differs from Link.
	Advertise string `json:"advertise,omitempty"`
	// Status is the IP address and port of the server for health checks and
	// metrics.
	Status string `json:"status"`
	// Platform is the base URL of the platform's object API and list of VMs.
	Platform string `json:"platform"`
	// SecretFile is the path of the file with the secret that authenticates
	// links. The secret has at least 16 bytes.
	SecretFile string `json:"secret-file"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error.
	LogLevel string `json:"log-level"`
	// StopGrace is the maximum time that a stop waits for running requests.
	StopGrace Duration `json:"stop-grace"`
}

func (p Process) check(c *checker) {
	c.require(ident.CheckName(string(p.VM)) == nil, "/vm", "missing or not a valid name")
	c.require(ident.CheckName(string(p.Domain)) == nil, "/domain", "missing or not a valid name")
	c.require(isAddress(p.Link), "/link", "%q is not an IP address and port", p.Link)
	c.require(p.Advertise == "" || isAddress(p.Advertise), "/advertise", "%q is not an IP address and port", p.Advertise)
	c.require(isAddress(p.Status), "/status", "%q is not an IP address and port", p.Status)
	c.require(isURL(p.Platform), "/platform", "%q is not an HTTP URL", p.Platform)
	c.require(p.SecretFile != "", "/secret-file", "missing")
	c.require(p.StopGrace > 0, "/stop-grace", "must be above zero")
}

const minSecretBytes = 16

// Secret reads the secret from SecretFile. It returns a NotValid error if the
// secret is too short.
func (p Process) Secret() ([]byte, error) {
	data, err := os.ReadFile(p.SecretFile)
	if err != nil {
		return nil, errors.Trace(err)
	}
	secret := strings.TrimSpace(string(data))
	if len(secret) < minSecretBytes {
		return nil, errors.NotValidf("secret has %d bytes, fewer than the minimum of %d:", len(secret), minSecretBytes)
	}
	return []byte(secret), nil
}

// Address returns the address at which other processes reach this one.
func (p Process) Address() string {
	if p.Advertise != "" {
		return p.Advertise
	}
	return p.Link
}

func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

func isURL(s string) bool {
	return strings.HasPrefix(s, "http://") || strings.HasPrefix(s, "https://")
}

func defaultProcess() Process {
	return Process{LogLevel: "info", StopGrace: Duration(10 * time.Minute)}
}
