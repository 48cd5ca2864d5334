package cli

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/mangoknot/mangoknot/adapter/certs"
	"github.com/mangoknot/mangoknot/adapter/operatorapi"
	"github.com/mangoknot/mangoknot/core/domain"
)

// Exit codes of the command line.
const (
	ExitDone     = 0
	ExitRefused  = 1 // refused by the system, or any other failure
	ExitUsage    = 2
	ExitConflict = 3 // another change was committed first
	ExitUnknown  = 4 // the change may have been committed
)

// defaultAddress is the operator address of a VM that was started with --dev.
const defaultAddress = "127.0.0.1:7301"

// Arguments declares the options and commands of the command line.
type Arguments struct {
	Addresses []string      `arg:"--address,separate,env:MANGOKNOT_OPERATOR_ADDRESS" help:"operator addresses of VMs as IP number and port; the next is tried after a connection failure (default 127.0.0.1:7301)"`
	Token     string        `arg:"--token,env:MANGOKNOT_OPERATOR_TOKEN" help:"the operator's token"`
	Output    string        `arg:"--output" help:"table or json" default:"table"`
	Wait      time.Duration `arg:"--wait" help:"how long a change waits to be in force everywhere, 0 to return at once" default:"0s"`
	TLSCert   string        `arg:"--tls-cert,env:MANGOKNOT_TLS_CERT" help:"PEM file of the operator's certificate"`
	TLSKey    string        `arg:"--tls-key,env:MANGOKNOT_TLS_KEY" help:"PEM file of the certificate's key"`
	TLSCA     string        `arg:"--tls-ca,env:MANGOKNOT_TLS_CA" help:"PEM file of the authority; empty uses HTTP without TLS"`

	Account  *accountCommand  `arg:"subcommand:account" help:"client accounts, rates and budgets"`
	Key      *keyCommand      `arg:"subcommand:key" help:"callers' keys"`
	Preset   *presetCommand   `arg:"subcommand:preset" help:"presets and the one in force"`
	Model    *modelCommand    `arg:"subcommand:model" help:"models and prices"`
	Route    *routeCommand    `arg:"subcommand:route" help:"plain services"`
	Target   *targetCommand   `arg:"subcommand:target" help:"model engines and application workers"`
	VM       *vmCommand       `arg:"subcommand:vm" help:"VMs of the system"`
	Voter    *voterCommand    `arg:"subcommand:voter" help:"VMs that agree on configuration"`
	Program  *programCommand  `arg:"subcommand:program" help:"agent programs"`
	Spend    *spendCommand    `arg:"subcommand:spend" help:"spend and forecast"`
	Status   *statusCommand   `arg:"subcommand:status" help:"what the VM knows of the system"`
	Report   *reportCommand   `arg:"subcommand:report" help:"turn measured records into an HTML page with plots"`
	Drain    *drainCommand    `arg:"subcommand:drain" help:"planned stop of the VM at the first address"`
	Operator *operatorCommand `arg:"subcommand:operator" help:"operators' tokens"`
}

// Description returns the text above the help text.
func (Arguments) Description() string {
	return "mangoknot operates the mangoknot scheduler.\nExit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 conflict with another change, 4 outcome unknown."
}

// Run executes one command line and returns the exit code.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	var args Arguments
	parser, err := arg.NewParser(arg.Config{Program: "mangoknot", Out: stderr}, &args)
	if err != nil {
		fmt.Fprintln(stderr, "mangoknot:", err)
		return ExitUsage
	}
	err = parser.Parse(arguments)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return ExitDone
	case err != nil:
		fmt.Fprintln(stderr, "mangoknot:", err)
		return ExitUsage
	}
	if len(args.Addresses) == 0 {
		args.Addresses = []string{defaultAddress}
	}
	command, ok := parser.Subcommand().(command)
	if !ok {
		_ = parser.WriteHelpForSubcommand(stderr, parser.SubcommandNames()...)
		return ExitUsage
	}
	client, err := args.client()
	if err == nil {
		err = command.run(ctx, &session{client: client, args: &args, stdout: stdout, stderr: stderr})
	}
	return exitCode(err, stderr)
}

// usageError reports an invalid option or combination of options.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

// exitCode prints the error, if any, and returns its exit code.
func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(stderr, "mangoknot:", err)
	var usage usageError
	var refused *operatorapi.RequestError
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &refused) && refused.Response.Code == domain.ReasonConflict:
		return ExitConflict
	case errors.As(err, &refused) && refused.Response.Outcome == domain.OutcomeUnknown.String():
		return ExitUnknown
	default:
		return ExitRefused
	}
}

// command is a leaf of the command tree.
type command interface {
	run(ctx context.Context, s *session) error
}

// client returns a client for the operators' interface, without TLS when no
// authority is given.
func (a *Arguments) client() (*operatorapi.Client, error) {
	if a.Output != "table" && a.Output != "json" {
		return nil, usageError{fmt.Sprintf("--output %q: use table or json", a.Output)}
	}
	if a.TLSCA == "" {
		return operatorapi.NewClient(a.Addresses, a.Token, nil), nil
	}
	tlsConfig, err := a.tls()
	if err != nil {
		return nil, err
	}
	return operatorapi.NewClient(a.Addresses, a.Token, tlsConfig), nil
}

// tls returns the client configuration for mutual TLS.
func (a *Arguments) tls() (*tls.Config, error) {
	loader, err := certs.NewLoader(certs.Files{Certificate: a.TLSCert, Key: a.TLSKey, Authority: a.TLSCA}, time.Now)
	if err != nil {
		return nil, err
	}
	return loader.Client(), nil
}

// session holds the client, options and output streams of a running command.
type session struct {
	client *operatorapi.Client
	args   *Arguments
	stdout io.Writer
	stderr io.Writer
}

// print writes a value as JSON, or the rows as a table under the header.
func (s *session) print(value any, header []string, rows [][]string) error {
	if s.args.Output == "json" {
		encoder := json.NewEncoder(s.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(s.stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}

// readLine reads a secret from standard input. A secret is not passed as an
// argument, because arguments are visible in the process list.
func (s *session) readLine(prompt string) (string, error) {
	fmt.Fprint(s.stderr, prompt)
	var line string
	if _, err := fmt.Fscanln(os.Stdin, &line); err != nil {
		return "", fmt.Errorf("read a line from standard input: %w", err)
	}
	return line, nil
}
