package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/standin/load"
)

// maxQuietRun is the longest run without a progress line.
const maxQuietRun = 5 * time.Second

// errWrongResponse says that a promise to a caller was broken.
var errWrongResponse = errors.New("an answer was wrong, crossed, doubled or not as it was told")

// errIncomplete says that a request had neither a whole answer nor a refusal.
var errIncomplete = errors.New("a request was cut, unknown or without an answer")

// loadFlags are the flags of the load command.
type loadFlags struct {
	mix      string
	daemons  []string
	manifest string
	control  string
	duration time.Duration
	scale    float64
	seed     uint64
	asJSON   bool
	strict   bool
}

func loadCommand(app *kingpin.Application) command {
	c := app.Command("load", "Play callers against daemons, check every answer and report. Exits with 1 when an answer was wrong.")
	f := &loadFlags{}
	c.Flag("mix", "Mix of callers, JSON with comments.").Required().StringVar(&f.mix)
	c.Flag("daemon", "Caller address of a daemon; repeat for several, used in turn while ready.").Default("127.0.0.1:7000").StringsVar(&f.daemons)
	c.Flag("manifest", "Manifest whose stand-ins are asked what they ran.").StringVar(&f.manifest)
	c.Flag("control", "Control address of the stand-ins, to ask also those whose port is closed.").StringVar(&f.control)
	c.Flag("duration", "Length of the run instead of the mix's.").DurationVar(&f.duration)
	c.Flag("scale", "Factor on every arrival rate.").Default("1").Float64Var(&f.scale)
	c.Flag("seed", "Seed instead of the mix's.").Uint64Var(&f.seed)
	c.Flag("json", "Report as JSON instead of a table.").BoolVar(&f.asJSON)
	c.Flag("strict", "Exit with 1 also when a request was cut, unknown or without an answer.").BoolVar(&f.strict)
	return command{clause: c, run: f.run}
}

func (f *loadFlags) run(ctx context.Context) error {
	opts, err := f.options()
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, opts)
	if err != nil {
		return err
	}
	if f.asJSON {
		err = json.NewEncoder(os.Stdout).Encode(report)
	} else {
		err = report.WriteTable(os.Stdout)
	}
	switch {
	case err != nil:
		return err
	case report.Violations() > 0:
		return errWrongResponse
	case f.strict && report.Unanswered() > 0:
		return errIncomplete
	}
	return nil
}

func (f *loadFlags) options() (load.Options, error) {
	opts := load.Options{Daemons: f.daemons, Control: f.control}
	mix, err := load.ReadMix(f.mix)
	if err != nil {
		return opts, err
	}
	if f.duration > 0 {
		mix.DurationMS = int(f.duration / time.Millisecond)
	}
	if f.seed > 0 {
		mix.Seed = f.seed
	}
	for i := range mix.Callers {
		mix.Callers[i].PerSecond *= f.scale
	}
	opts.Mix = mix
	if time.Duration(mix.DurationMS)*time.Millisecond > maxQuietRun {
		opts.Progress = os.Stderr
	}
	if f.manifest != "" {
		data, err := os.ReadFile(f.manifest)
		if err != nil {
			return opts, errors.Wrap(err, "read manifest")
		}
		if opts.Manifest, err = manifest.Parse(f.manifest, data); err != nil {
			return opts, err
		}
	}
	return opts, nil
}
