// Command lagoonctl is the operators' client.
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
	app := kingpin.New("lagoonctl", "Operates lagoonmux daemons. Only apply changes what runs.\n\n"+
		"Exit codes: 0 done, 1 failed, 2 the manifest violates a rule, 3 a daemon or the platform could not be reached, 4 another manifest was accepted first.")
	app.UsageWriter(os.Stdout)
	app.Version(version.Version)
	addresses := app.Flag("address", "Operator address of a daemon; explain asks all that are given, other commands the first.").
		Short('a').Default("127.0.0.1:7001").Strings()
	asJSON := app.Flag("json", "Print JSON instead of tables.").Bool()
	var tls settings.TLS
	app.Flag("tls-certificate", "File with the operator's certificate, for daemons beyond loopback.").StringVar(&tls.Certificate)
	app.Flag("tls-key", "File with the certificate's key.").StringVar(&tls.Key)
	app.Flag("tls-authorities", "File with the authorities that daemons must chain to.").StringVar(&tls.Authorities)

	validate := app.Command("validate", "Check a manifest without applying it.")
	validateFile := validate.Arg("file", "Manifest, JSON with comments.").Required().String()
	apply := app.Command("apply", "Put a manifest in force.")
	applyFile := apply.Arg("file", "Manifest, JSON with comments.").Required().String()
	applyBase := apply.Flag("base", "Generation that the manifest replaces; the one in force at the daemon by default.").Default(strconv.FormatInt(operator.BaseInForce, 10)).Int64()
	show := app.Command("manifest", "Print the manifest in force.")
	status := app.Command("status", "Print a daemon, and all daemons with the manifest in force and its lag, and the upstreams, as it knows them.")
	histograms := app.Command("histograms", "Print counters and latencies for each customer, class and upstream since the daemon started.")
	explain := app.Command("explain", "Print each step, attempt, upstream and wait of a recent request.")
	explainID := explain.Arg("id", "The answer's Lagoonmux-Request-Id, or on the users' platform the id of the caller's attempt.").Required().String()
	explainLogs := explain.Flag("log", "File with logs of daemons to read instead of asking them, - for standard input; may be repeated.").Strings()

	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	if command == explain.FullCommand() && len(*explainLogs) > 0 {
		if err := ctl.ExplainFromLogs(os.Stdout, *explainID, *explainLogs); err != nil {
			exit(err)
		}
		return
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

// connect returns a client for each address.
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

func exit(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(ctl.ExitCode(err))
}
