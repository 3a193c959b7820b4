package cli

import (
	"fmt"
	"io"
	"runtime/debug"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
)

// arguments is the command line.
type arguments struct {
	Run        *runCommand      `arg:"subcommand:run" help:"run the balancer of this VM"`
	Settings   *settingsGroup   `arg:"subcommand:settings" help:"check a settings file"`
	Sheet      *sheetGroup      `arg:"subcommand:sheet" help:"check, submit or show a sheet"`
	Status     *statusCommand   `arg:"subcommand:status" help:"show VMs, upstreams, open drains and versions"`
	Explain    *explainGroup    `arg:"subcommand:explain" help:"explain where a connection goes, why an upstream is eligible, or where a sheet is in force"`
	Audit      *auditCommand    `arg:"subcommand:audit" help:"show the audit trail"`
	Voter      *voterGroup      `arg:"subcommand:voter" help:"change the voters of the replicated log"`
	Keys       *keysGroup       `arg:"subcommand:keys" help:"create and rotate certificates and relay keys"`
	Demo       *demoCommand     `arg:"subcommand:demo" help:"run eight balancers with stand-ins in this process"`
	Experiment *experimentGroup `arg:"subcommand:experiment" help:"ask a model of the fleet what it would do under a load or a fault"`
	Codes      *codesCommand    `arg:"subcommand:codes" help:"list the result codes"`
	JSON       bool             `arg:"--json" help:"write output and errors as JSON"`
}

// Description is shown above the usage.
func (arguments) Description() string {
	return "heatherport is a layer-4 load balancer whose balancers accept packets sprayed over all of them."
}

// Version is shown by --version: the version of the module and the commit that
// the program was built from.
func (arguments) Version() string {
	out := program
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return out
	}
	if info.Main.Version != "" {
		out += " " + info.Main.Version
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			out += " " + s.Value
		}
	}
	return out
}

type runCommand struct {
	Settings string `arg:"--settings,required" help:"settings of this VM"`
}

type settingsGroup struct {
	Check *settingsCheckCommand `arg:"subcommand:check" help:"list all faults of a settings file"`
}

type settingsCheckCommand struct {
	File    string `arg:"positional,required" help:"settings file"`
	Program string `arg:"--program" placeholder:"NAME" help:"balancer or controller, for their settings"`
}

type sheetGroup struct {
	Check  *sheetCheckCommand  `arg:"subcommand:check" help:"list all faults of a sheet"`
	Submit *sheetSubmitCommand `arg:"subcommand:submit" help:"put a sheet in force"`
	Show   *sheetShowCommand   `arg:"subcommand:show" help:"show the sheet in force"`
}

type sheetCheckCommand struct {
	File string `arg:"positional,required" help:"sheet in CSV"`
}

type sheetSubmitCommand struct {
	File string        `arg:"positional,required" help:"sheet in CSV"`
	Wait time.Duration `arg:"--wait" placeholder:"TIME" help:"wait up to TIME until all live VMs have confirmed, for example 30s"`
	remote
}

type sheetShowCommand struct {
	CSV bool `arg:"--csv" help:"write the sheet itself"`
	remote
}

type statusCommand struct {
	remote
}

type explainGroup struct {
	Connection *explainConnectionCommand `arg:"subcommand:connection" help:"explain where a connection goes and why"`
	Upstream   *explainUpstreamCommand   `arg:"subcommand:upstream" help:"explain why an upstream does or does not receive new connections"`
	Flow       *explainFlowCommand       `arg:"subcommand:flow" help:"show from logs the decisions about a connection with a cookie"`
	Sheet      *explainSheetCommand      `arg:"subcommand:sheet" help:"show where the sheet is in force"`
}

type explainFlowCommand struct {
	Flow     string        `arg:"positional" help:"connection as written in the logs, CALLER:PORT>SERVICE:PORT"`
	Log      []string      `arg:"--log,separate,required" placeholder:"FILE" help:"log of a balancer or controller; may be repeated"`
	Upstream string        `arg:"--upstream" placeholder:"ID" help:"without a connection: list the connections sent to this upstream"`
	At       string        `arg:"--at" placeholder:"TIME" help:"with --upstream: time around which to list connections, in RFC 3339"`
	Within   time.Duration `arg:"--within" default:"100ms" help:"with --at: maximum distance from that time"`
}

type explainConnectionCommand struct {
	Caller   string `arg:"--caller,required" help:"address of the caller"`
	Service  string `arg:"--service,required" help:"address of the service"`
	Protocol string `arg:"--protocol" default:"tcp" help:"tcp or udp"`
	remote
}

type explainUpstreamCommand struct {
	Name string `arg:"positional,required" help:"name of the upstream"`
	remote
}

type explainSheetCommand struct {
	remote
}

type auditCommand struct {
	File    string        `arg:"--file" help:"read this file and its rotated predecessors instead of calling a VM"`
	Last    time.Duration `arg:"--last" placeholder:"TIME" help:"only the last TIME, for example 2h"`
	Kind    string        `arg:"--kind" help:"sheet, roster, placement, leadership, keys or member"`
	Subject string        `arg:"--subject" help:"only changes of this name"`
	Who     string        `arg:"--who" help:"only changes that this operator, upstream or VM caused"`
	Limit   int           `arg:"--limit" default:"1000" help:"number of newest records"`
	remote
}

type keysGroup struct {
	Init   *keysInitCommand   `arg:"subcommand:init" help:"create the certificate authority and the first relay key"`
	Issue  *keysIssueCommand  `arg:"subcommand:issue" help:"issue a certificate"`
	Rotate *keysRotateCommand `arg:"subcommand:rotate" help:"add a relay key or a certificate authority to the current one"`
}

type keysInitCommand struct {
	Dir string `arg:"--dir,required" help:"folder for the files"`
}

type keysIssueCommand struct {
	Dir      string        `arg:"--dir,required" help:"folder of keys init"`
	Name     string        `arg:"--name" placeholder:"VM" help:"name of a VM"`
	Operator string        `arg:"--operator" placeholder:"NAME" help:"name of an operator"`
	Upstream string        `arg:"--upstream" placeholder:"NAME" help:"name of an upstream"`
	Validity time.Duration `arg:"--validity" default:"8760h" help:"time until the certificate ends"`
}

type keysRotateCommand struct {
	Dir    string        `arg:"--dir,required" help:"folder of keys init"`
	Window time.Duration `arg:"--window" default:"24h" help:"time during which both old and new are accepted"`
	CA     bool          `arg:"--ca" help:"rotate the certificate authority instead of the relay key"`
}

type demoCommand struct {
	Seed uint64 `arg:"--seed" default:"1" help:"seed of the stand-ins"`
}

type codesCommand struct {
	Markdown bool `arg:"--markdown" help:"write the page docs/CODES.md"`
}

// remote holds the addresses of the VMs to call and the location of the
// client certificate.
type remote struct {
	To       []string `arg:"--to,separate,env:HEATHERPORT_TO" placeholder:"IP:PORT" help:"API address of a VM; several are tried in turn"`
	Keys     string   `arg:"--keys,env:HEATHERPORT_KEYS" placeholder:"DIR" help:"folder with ca.pem and the operator's files"`
	Operator string   `arg:"--operator,env:HEATHERPORT_OPERATOR" placeholder:"NAME" help:"name of the operator's certificate"`
}

// writeHelp writes the help of the selected command, with an example.
func writeHelp(w io.Writer, p *arg.Parser) {
	names := p.SubcommandNames()
	if err := p.WriteHelpForSubcommand(w, names...); err != nil {
		p.WriteHelp(w)
	}
	fmt.Fprintf(w, "\nExample:\n  %s\n", example(strings.Join(names, " ")))
	fmt.Fprintf(w, "\nThe exit code is the class of the result code; see %s codes.\n", program)
}

const exampleRemote = " --to 192.0.2.11:8443 --to 192.0.2.12:8443 --keys /etc/heatherport --operator amina"

// example returns an example of a command, or of the first subcommand of a
// group.
func example(name string) string {
	for _, x := range examples {
		if strings.HasPrefix(x.command, name) {
			return program + " " + x.command + x.arguments
		}
	}
	return program + " demo"
}

var examples = []struct{ command, arguments string }{
	{"demo", ""},
	{"run", " --settings /etc/heatherport/settings.ini"},
	{"settings check", " /etc/heatherport/settings.ini"},
	{"sheet check", " sheet.csv"},
	{"sheet submit", " sheet.csv --wait 30s" + exampleRemote},
	{"sheet show", " --csv" + exampleRemote},
	{"voter add", " oshogbo-1" + exampleRemote},
	{"voter remove", " akure-1" + exampleRemote},
	{"status", exampleRemote},
	{"explain connection", " --caller 198.51.100.7:40100 --service 203.0.113.10:443" + exampleRemote},
	{"explain upstream", " permit-03" + exampleRemote},
	{"explain flow", " --log balancer.log '203.0.113.7:40001>198.51.100.1:8443'"},
	{"explain sheet", exampleRemote},
	{"audit", " --kind sheet --last 24h" + exampleRemote},
	{"voter bootstrap", " --settings /etc/heatherport/settings.ini"},
	{"keys init", " --dir ./keys"},
	{"keys issue", " --dir ./keys --name ibadan-1"},
	{"keys rotate", " --dir ./keys --window 24h"},
	{"codes", " --markdown"},
}
