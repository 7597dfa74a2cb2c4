// Command lagoonctl is the operators' client.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonmux/lagoonmux/internal/ctl"
	"github.com/lagoonmux/lagoonmux/internal/version"
)

func main() {
	app := kingpin.New("lagoonctl", "Operates lagoonmux daemons. Only apply changes what runs.")
	app.Version(version.Version)
	address := app.Flag("address", "Operator address of any daemon.").Short('a').Default("127.0.0.1:7001").String()

	validate := app.Command("validate", "Check a manifest without applying it.")
	validateFile := validate.Arg("file", "Manifest, JSON with comments.").Required().String()
	apply := app.Command("apply", "Put a manifest in force.")
	applyFile := apply.Arg("file", "Manifest, JSON with comments.").Required().String()
	show := app.Command("manifest", "Print the manifest in force.")

	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	client := ctl.New(*address, os.Stdout)
	var err error
	switch command {
	case validate.FullCommand():
		err = client.Validate(*validateFile)
	case apply.FullCommand():
		err = client.Apply(*applyFile)
	case show.FullCommand():
		err = client.Manifest()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ctl.ExitCode(err))
	}
}
