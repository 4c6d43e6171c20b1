// Package configcommand implements the command that checks a configuration of the users' platform.
package configcommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/operator/command"
	"hickoryrock/internal/operator/configcheck"
	"hickoryrock/platform"
)

const (
	// ExitWarnings means that the configuration has warnings and no errors.
	ExitWarnings = 1
	// ExitErrors means that the configuration has errors.
	ExitErrors = 3

	name = "check-configuration"
	// stdin is the name of the file that stands for standard input.
	stdin = "-"
	// maxFileBytes bounds a file; an object of the store is at most 1 MB, a list 32 MB.
	maxFileBytes = 32 << 20
	// storeTimeout bounds the only call of the store.
	storeTimeout = 2 * time.Second
)

type (
	// invocation is one command line.
	invocation struct {
		env     command.Env
		file    string
		against string
		targets string
		store   string
		asJSON  bool
	}

	// inputs is what a command line names.
	inputs struct {
		document *platform.ConfigurationDocument
		// earlier is the configuration to compare with, or nil.
		earlier *platform.ConfigurationDocument
		options []configcheck.Option
	}
)

// Commands returns the command.
func Commands() []command.Command {
	return []command.Command{
		{Name: name, Summary: "check a configuration of the users' platform, show its differences from another", Run: run},
	}
}

// run returns command.ExitUsage if it cannot check, or compare, as asked, and prints nothing but
// the error then.
func run(ctx context.Context, env command.Env, args []string) int {
	v := &invocation{env: env}
	if !v.parse(args) {
		return command.ExitUsage
	}
	in, err := v.read(ctx)
	if err != nil {
		_, _ = fmt.Fprintf(env.Stderr, "%s: %v\n", name, err)
		return command.ExitUsage
	}
	r := newResult(in)
	if err := r.write(env.Stdout, v.file, v.asJSON); err != nil {
		_, _ = fmt.Fprintf(env.Stderr, "%s: %v\n", name, err)
		return command.ExitUsage
	}
	return r.exitCode()
}

// parse parses flags and arguments, which may be mixed in any order.
func (v *invocation) parse(args []string) bool {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(v.env.Stderr)
	flags.StringVar(&v.against, "against", "", "the configuration to compare with: a file, or the version that is in the store")
	flags.StringVar(&v.store, "store", "", "the store's address, as IP:port, to read a version from")
	flags.StringVar(&v.targets, "targets", "", "a file with the store's list of targets")
	flags.BoolVar(&v.asJSON, "json", false, "print JSON")
	flags.Usage = func() {
		_, _ = fmt.Fprintf(v.env.Stderr,
			"usage: hickoryrock %s FILE [-against VERSION -store IP:PORT | -against FILE] [-targets FILE] [-json]\n"+
				"FILE is a configuration's spec or its object in the store, or - for standard input.\n", name)
		flags.PrintDefaults()
	}
	var files []string
	for {
		if flags.Parse(args) != nil { // Prints the usage.
			return false
		}
		if flags.NArg() == 0 {
			break
		}
		files = append(files, flags.Arg(0))
		args = flags.Args()[1:]
	}
	if len(files) != 1 || files[0] == "" {
		flags.Usage()
		return false
	}
	v.file = files[0]
	return true
}

// read reads everything that the command line names.
func (v *invocation) read(ctx context.Context) (inputs, error) {
	if err := v.checkStdin(); err != nil {
		return inputs{}, err
	}
	data, err := v.readFile(v.file)
	if err != nil {
		return inputs{}, err
	}
	in := inputs{document: platform.DecodeConfigurationDocument(data)}
	if in.earlier, err = v.readEarlier(ctx); err != nil {
		return inputs{}, err
	}
	if in.earlier != nil {
		in.options = append(in.options, configcheck.WithEarlier(in.earlier))
	}
	if v.targets != "" {
		targets, err := v.readTargets()
		if err != nil {
			return inputs{}, err
		}
		in.options = append(in.options, configcheck.WithTargets(targets))
	}
	return in, nil
}

// checkStdin returns an error if more than one file is standard input.
func (v *invocation) checkStdin() error {
	n := 0
	for _, file := range []string{v.file, v.against, v.targets} {
		if file == stdin {
			n++
		}
	}
	if n > 1 {
		return eris.New("only one file can be standard input")
	}
	return nil
}

func (v *invocation) readFile(path string) ([]byte, error) {
	if path == stdin {
		return readAll(v.env.Stdin, "standard input")
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "read file")
	}
	defer func() { _ = f.Close() }() // It was only read.
	return readAll(f, path)
}

func readAll(r io.Reader, path string) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxFileBytes+1))
	if err != nil {
		return nil, eris.Wrapf(err, "read %s", path)
	}
	if len(data) > maxFileBytes {
		return nil, eris.Errorf("read %s: more than %d bytes", path, maxFileBytes)
	}
	return data, nil
}

// readEarlier returns the configuration to compare with, or nil if there is none to.
func (v *invocation) readEarlier(ctx context.Context) (*platform.ConfigurationDocument, error) {
	if v.against == "" {
		if v.store != "" {
			return nil, eris.New("-store is only used with -against VERSION")
		}
		return nil, nil
	}
	version, err := strconv.ParseInt(v.against, 10, 64)
	if err != nil {
		if v.store != "" {
			return nil, eris.Errorf("-store is only used with -against VERSION, and %q is no version", v.against)
		}
		data, err := v.readFile(v.against)
		if err != nil {
			return nil, err
		}
		return decodeEarlier(data, v.against)
	}
	if v.store == "" {
		return nil, eris.Errorf("-against %d needs -store IP:PORT; a file of that name is ./%d", version, version)
	}
	spec, err := readStore(ctx, v.store)
	if err != nil {
		return nil, err
	}
	d, err := decodeEarlier(spec, "the store")
	if err != nil {
		return nil, err
	}
	if d.Configuration.Version != version {
		return nil, eris.Errorf("the store has version %d, not %d", d.Configuration.Version, version)
	}
	return d, nil
}

func decodeEarlier(data []byte, source string) (*platform.ConfigurationDocument, error) {
	d := platform.DecodeConfigurationDocument(data)
	if d.Configuration == nil {
		return nil, eris.Wrapf(d.Rejection, "the configuration to compare with, from %s, cannot be decoded", source)
	}
	return d, nil
}

// readStore returns the spec of the configuration in the store.
func readStore(ctx context.Context, address string) ([]byte, error) {
	store, stop := platform.NewStore(address)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := store.List(ctx, platform.KindConfigurations)
	if err != nil {
		return nil, eris.Wrap(err, "read the configuration in the store")
	}
	for _, o := range page.Objects {
		if o.Name == platform.CurrentConfiguration && !o.Deleted {
			return o.Spec, nil
		}
	}
	return nil, eris.New("the store has no configuration")
}

// readTargets returns the targets of a list. Routers skip entries that describe no usable target,
// so these are only counted.
func (v *invocation) readTargets() ([]*state.Target, error) {
	data, err := v.readFile(v.targets)
	if err != nil {
		return nil, err
	}
	objects, err := platform.DecodeList(data)
	if err != nil {
		return nil, eris.Wrapf(err, "targets of %s", v.targets)
	}
	var targets []*state.Target
	unusable := 0
	var first error
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		t, err := platform.DecodeTarget(o)
		if err != nil {
			unusable++
			if first == nil {
				first = err
			}
			continue
		}
		targets = append(targets, t)
	}
	if unusable > 0 {
		_, _ = fmt.Fprintf(v.env.Stderr, "%s: %d of %d entries of %s describe no usable target; the first: %v\n",
			name, unusable, len(objects), v.targets, first)
	}
	return targets, nil
}
