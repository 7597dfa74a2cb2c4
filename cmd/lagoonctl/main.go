// Command lagoonctl is the command line client with which operators inspect daemons and apply
// manifests.
package main

import (
	"fmt"
	"os"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonmux/lagoonmux/internal/ctl"
	"github.com/lagoonmux/lagoonmux/internal/operator"
	"github.com/lagoonmux/lagoonmux/internal/settings"
	"github.com/lagoonmux/lagoonmux/internal/version"
)

func main() {
	app := kingpin.New("lagoonctl", "Operates lagoonmux daemons. Only the apply command changes anything.\n\n"+
		"Exit codes: 0 success, 1 failure, 2 the manifest violates a rule, 3 a daemon or the platform could not be reached, 4 another manifest was accepted first. "+
		"check-config: 0 nothing found, 1 warnings, 2 errors, 3 a file cannot be read.")
	app.UsageWriter(os.Stdout)
	app.Version(version.Version)
	addresses := app.Flag("address", "Operator address of a daemon; may be repeated: explain asks the daemons in order until one has a record of the request, other commands use the first address.").
		Short('a').Default("127.0.0.1:7001").Strings()
	asJSON := app.Flag("json", "Print JSON instead of tables.").Bool()
	var tls settings.TLS
	app.Flag("tls-certificate", "File with the operator's TLS certificate, for daemons that do not listen on loopback.").StringVar(&tls.Certificate)
	app.Flag("tls-key", "File with the private key of the certificate.").StringVar(&tls.Key)
	app.Flag("tls-authorities", "File with the certificate authorities that daemon certificates must chain to.").StringVar(&tls.Authorities)

	validate := app.Command("validate", "Check a manifest without applying it.")
	validateFile := validate.Arg("file", "Manifest, JSON with comments.").Required().String()
	apply := app.Command("apply", "Put a manifest in force.")
	applyFile := apply.Arg("file", "Manifest, JSON with comments.").Required().String()
	applyBase := apply.Flag("base", "Generation that the manifest replaces; by default the one in force at the daemon.").Default(strconv.FormatInt(operator.BaseInForce, 10)).Int64()
	show := app.Command("manifest", "Print the manifest in force.")
	status := app.Command("status", "Print the state of a daemon, and all daemons (with the manifest generation in force and its lag) and upstreams that it knows.")
	histograms := app.Command("histograms", "Print request counters and latency quantiles by customer and class, and counters by upstream, since the daemon started.")
	explain := app.Command("explain", "Print the steps of a recent request with attempts, upstreams and waiting times.")
	explainID := explain.Arg("id", "Lagoonmux-Request-Id of the response, or on the users' platform the id of the caller's attempt.").Required().String()
	explainLogs := explain.Flag("log", "File with daemon logs to read instead of calling daemons, - for standard input; may be repeated.").Strings()

	check := app.Command("check-config", "Check a configuration of the users' platform, without a daemon.")
	checkFile := check.Arg("file", "Configuration, JSON.").Required().String()
	checkInForce := check.Flag("in-force", "File with the configuration in force; prints what differs from it.").String()

	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	if command == explain.FullCommand() && len(*explainLogs) > 0 {
		if err := ctl.ExplainFromLogs(os.Stdout, *explainID, *explainLogs); err != nil {
			exit(err)
		}
		return
	}
	if command == check.FullCommand() {
		os.Exit(checkConfig(os.Stdout, os.Stderr, *checkFile, *checkInForce))
	}
	clients, err := connect(*addresses, &tls)
	if err != nil {
		exit(err)
	}
	client := clients[0]
	switch command {
	case validate.FullCommand():
		err = client.Validate(*validateFile)
	case apply.FullCommand():
		err = client.Apply(*applyFile, *applyBase)
	case show.FullCommand():
		err = client.Manifest()
	case status.FullCommand():
		err = client.Status(*asJSON)
	case histograms.FullCommand():
		err = client.Histograms(*asJSON)
	case explain.FullCommand():
		err = ctl.Explain(clients, *explainID, *asJSON)
	}
	if err != nil {
		exit(err)
	}
}

// connect returns a client for each address, with TLS if a certificate is set. It opens no
// connections.
func connect(addresses []string, tls *settings.TLS) ([]*ctl.Client, error) {
	clients := make([]*ctl.Client, len(addresses))
	for i, address := range addresses {
		clients[i] = ctl.New(address, os.Stdout)
		if tls.Certificate == "" {
			continue
		}
		if err := clients[i].UseTLS(tls); err != nil {
			return nil, err
		}
	}
	return clients, nil
}

// exit prints err and ends the process with its exit code.
func exit(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(ctl.ExitCode(err))
}
