// Package settings declares and validates the settings of the daemon. Flags and
// environment variables are the only sources. Each error names the setting, the
// invalid value and the remedy.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Settings holds the flags and environment variables of mangoknotd.
type Settings struct {
	VM         string `arg:"--vm,env:MANGOKNOT_VM" help:"name of this VM, unique in the system"`
	DataCentre string `arg:"--data-centre,env:MANGOKNOT_DATA_CENTRE" help:"data centre of this VM"`
	Region     string `arg:"--region,env:MANGOKNOT_REGION" help:"region of the data centre"`

	Listen         string `arg:"--listen,env:MANGOKNOT_LISTEN" help:"address for callers, an IP number and a port" default:"127.0.0.1:7300"`
	OperatorListen string `arg:"--operator-listen,env:MANGOKNOT_OPERATOR_LISTEN" help:"address for operators" default:"127.0.0.1:7301"`
	PeerListen     string `arg:"--peer-listen,env:MANGOKNOT_PEER_LISTEN" help:"address for the other VMs" default:"127.0.0.1:7302"`
	PeerAddress    string `arg:"--peer-address,env:MANGOKNOT_PEER_ADDRESS" help:"address under which the other VMs reach this one (default: --peer-listen)"`

	Voters string `arg:"--voters,env:MANGOKNOT_VOTERS" help:"VMs that agree on configuration when the system starts for the first time, as name=address,name=address"`
	Join   string `arg:"--join,env:MANGOKNOT_JOIN" help:"VMs to contact first, as name=address,name=address (default: --voters)"`
	Homes  string `arg:"--homes,env:MANGOKNOT_HOMES" help:"data centres that home programs, fixed at the first start, as a,b,c (default: the data centres known then)"`

	DataDir string `arg:"--data-dir,env:MANGOKNOT_DATA_DIR" help:"folder for durable state; empty keeps state in memory and on other VMs"`

	OperatorsFile string `arg:"--operators-file,env:MANGOKNOT_OPERATORS_FILE" help:"file with a line name:sha256 for each operator's token"`
	TLSCert       string `arg:"--tls-cert,env:MANGOKNOT_TLS_CERT" help:"PEM file of this VM's certificate for VMs and operators"`
	TLSKey        string `arg:"--tls-key,env:MANGOKNOT_TLS_KEY" help:"PEM file of the certificate's key"`
	TLSCA         string `arg:"--tls-ca,env:MANGOKNOT_TLS_CA" help:"PEM file of the authority that signs the certificates of VMs and operators"`
	Insecure      bool   `arg:"--insecure,env:MANGOKNOT_INSECURE" help:"talk to VMs and operators without TLS"`

	VMList         string        `arg:"--vm-list,env:MANGOKNOT_VM_LIST" help:"file with the platform's list of live and leaving VMs"`
	VMListInterval time.Duration `arg:"--vm-list-interval,env:MANGOKNOT_VM_LIST_INTERVAL" help:"time between two reads of the list" default:"5s"`

	CutOffKeys    string        `arg:"--cut-off-keys,env:MANGOKNOT_CUT_OFF_KEYS" help:"serve or refuse keyed requests in a data centre that is cut off from the configuration leader" default:"serve"`
	UnreadyDelay  time.Duration `arg:"--unready-delay,env:MANGOKNOT_UNREADY_DELAY" help:"time between becoming unready and closing the listener in a planned stop; longer than the balancer's check interval" default:"5s"`
	DrainDeadline time.Duration `arg:"--drain-deadline,env:MANGOKNOT_DRAIN_DEADLINE" help:"longest time of a planned stop; calls that still run are cut and counted" default:"10m"`

	Bounds
	MemoryMB  int64         `arg:"--memory-mb,env:MANGOKNOT_MEMORY_MB" help:"memory for this VM in MB, from which the connections and the memory for heads are derived; 0 means that of the machine" default:"0"`
	HeadTime  time.Duration `arg:"--head-time,env:MANGOKNOT_HEAD_TIME" help:"time from the first byte of a head to its end" default:"30s"`
	IdleTime  time.Duration `arg:"--idle-time,env:MANGOKNOT_IDLE_TIME" help:"time without a byte before a head" default:"2m"`
	WriteTime time.Duration `arg:"--write-time,env:MANGOKNOT_WRITE_TIME" help:"time for which a part of an answer may stay unread; 0s sets no bound" default:"1m"`

	LogFormat string `arg:"--log-format,env:MANGOKNOT_LOG_FORMAT" help:"text or json" default:"text"`
	Verbosity int    `arg:"--verbosity,env:MANGOKNOT_VERBOSITY" help:"0 for operators, 1 adds details for developers" default:"0"`

	CheckConfig bool `arg:"--check-config" help:"check the settings and exit"`
	Dev         bool `arg:"--dev" help:"run a complete VM on loopback with a stand-in engine and tool service"`
}

// Description returns the text above the help text.
func (Settings) Description() string {
	return "mangoknotd is the daemon of an entry VM of the mangoknot scheduler."
}

// AdvertisedPeerAddress returns the address under which other VMs reach this one.
func (s *Settings) AdvertisedPeerAddress() string {
	if s.PeerAddress != "" {
		return s.PeerAddress
	}
	return s.PeerListen
}

// Check returns all invalid settings as one joined error, or nil.
func (s *Settings) Check() error {
	errs := []error{
		checkName("vm", s.VM, "set a name that is unique in the system, such as entry-1"),
		checkName("data-centre", s.DataCentre, "set the data centre of this VM"),
		checkName("region", s.Region, "set the region of the data centre"),
		checkAddress("listen", s.Listen),
		checkAddress("operator-listen", s.OperatorListen),
		checkAddress("peer-listen", s.PeerListen),
		checkAddress("peer-address", s.AdvertisedPeerAddress()),
		checkOneOf("cut-off-keys", s.CutOffKeys, "serve", "refuse"),
		checkOneOf("log-format", s.LogFormat, "text", "json"),
		checkPositive("vm-list-interval", s.VMListInterval),
		checkPositive("drain-deadline", s.DrainDeadline),
		s.Bounds.Check(),
		s.checkPeers(),
		s.checkSecurity(),
	}
	if s.UnreadyDelay < 0 {
		errs = append(errs, invalidSetting("unready-delay", s.UnreadyDelay.String(), "set 0s or more"))
	}
	return errors.Join(errs...)
}

// checkPeers checks the voters, the VMs to contact and the data folder of a voter.
func (s *Settings) checkPeers() error {
	voters, err := ParsePeers("voters", s.Voters)
	if err != nil {
		return err
	}
	if _, err := ParsePeers("join", s.Join); err != nil {
		return err
	}
	if len(voters) == 0 && s.Join == "" {
		return invalidSetting("voters", "", "set the voters of the first start, or the VMs to contact with --join")
	}
	if _, voter := voters[domain.VM(s.VM)]; voter && s.DataDir == "" && !s.Dev {
		return invalidSetting("data-dir", "", "a voter keeps the configuration on a disk; set a folder")
	}
	return nil
}

// checkSecurity checks the operators file and the TLS files.
func (s *Settings) checkSecurity() error {
	if s.Dev {
		return nil
	}
	if s.OperatorsFile == "" {
		return invalidSetting("operators-file", "", "create a line with mangoknot operator new and set the path of its file")
	}
	if s.Insecure {
		return nil
	}
	for name, value := range map[string]string{"tls-cert": s.TLSCert, "tls-key": s.TLSKey, "tls-ca": s.TLSCA} {
		if value == "" {
			return invalidSetting(name, value, "set the path of the PEM file, or set --insecure on a trusted network")
		}
	}
	return nil
}

// invalidSetting returns an error with the setting, its value and the remedy.
func invalidSetting(name, value, remedy string) error {
	return fmt.Errorf("setting --%s has the value %q: %s", name, value, remedy)
}

// checkName rejects an empty name and one with characters that lists and addresses
// use as separators.
func checkName(name, value, remedy string) error {
	if value == "" || strings.ContainsAny(value, " /,=@") {
		return invalidSetting(name, value, remedy+", without spaces and the characters / , = @")
	}
	return nil
}

// checkAddress rejects anything but an IP number and a port.
func checkAddress(name, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return invalidSetting(name, value, "use an IP number and a port, such as 10.0.0.1:7300; host names are not looked up")
	}
	return nil
}

func checkOneOf(name, value string, allowed ...string) error {
	if slices.Contains(allowed, value) {
		return nil
	}
	return invalidSetting(name, value, "use "+strings.Join(allowed, " or "))
}

func checkPositive(name string, d time.Duration) error {
	if d <= 0 {
		return invalidSetting(name, d.String(), "set a time above 0")
	}
	return nil
}

// ParsePeers parses a list of the form name=address,name=address. Errors name the
// setting.
func ParsePeers(setting, text string) (map[domain.VM]string, error) {
	out := map[domain.VM]string{}
	if text == "" {
		return out, nil
	}
	for _, part := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || name == "" {
			return nil, invalidSetting(setting, part, "write name=address,name=address")
		}
		if err := checkAddress(setting, value); err != nil {
			return nil, err
		}
		out[domain.VM(name)] = value
	}
	return out, nil
}

// ParseDataCentres parses a list of the form a,b,c and ignores empty items.
func ParseDataCentres(text string) []domain.DataCentre {
	var out []domain.DataCentre
	for _, part := range strings.Split(text, ",") {
		if name := strings.TrimSpace(part); name != "" {
			out = append(out, domain.DataCentre(name))
		}
	}
	return out
}
