package app

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/operator"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
)

func newBundleKeygenCommand(stdout, stderr io.Writer) *ffcli.Command {
	f := newBundleFlags("keygen", stderr)
	file := f.set.String("key-file", "", "new file for the private key; keep it secret")
	return f.command("keygen --key-file FILE", "Generates an owner's key pair and prints the public key.",
		"keygen --key-file norte.key", func(context.Context) error {
			if *file == "" {
				return errors.NotValidf("make key: --key-file is missing; name a new file: command line")
			}
			key, err := operator.WriteKeyFile(*file)
			if err != nil {
				return errors.Trace(err)
			}
			return f.print(stdout, map[string]string{"keyFile": *file, "publicKey": string(key)}, "%s\n", key)
		})
}

type wireCheck struct {
	File             string   `json:"file"`
	GovernanceDigest string   `json:"governanceDigest"`
	Owners           []string `json:"owners"`
	FirstMonth       string   `json:"firstMonth"`
	LastMonth        string   `json:"lastMonth"`
}

func newBundleCheckCommand(stdout, stderr io.Writer) *ffcli.Command {
	f := newBundleFlags("check", stderr)
	file := f.set.String("file", "", "TOML file of the bundle")
	return f.command("check --file FILE", "Checks a bundle file, without the platform, and prints its governance digest.",
		"check --file bundle.toml", func(context.Context) error {
			b, err := readBundleFile(*file)
			if err != nil {
				return errors.Trace(err)
			}
			months := slices.Sorted(maps.Keys(b.Governance.Calendar))
			w := wireCheck{
				File:             *file,
				GovernanceDigest: string(bundle.DigestOf(bundle.EncodeGovernance(b.Governance))),
				FirstMonth:       string(months[0]),
				LastMonth:        string(months[len(months)-1]),
			}
			for _, o := range b.Owners {
				w.Owners = append(w.Owners, string(o.ID))
			}
			return f.print(stdout, w, "%s is well-formed: %d owners, calendar %s to %s\ngovernance digest %s\n",
				*file, len(w.Owners), w.FirstMonth, w.LastMonth, w.GovernanceDigest)
		})
}

type wireChange struct {
	Key    string `json:"key"`
	Before string `json:"before"`
	After  string `json:"after"`
}

func newBundleDiffCommand(stdout, stderr io.Writer) *ffcli.Command {
	f := newBundleFlags("diff", stderr).withPlatform()
	file := f.set.String("file", "", "TOML file to compare with the bundle in force")
	candidate := f.set.String("candidate", "", "prepared candidate to compare instead of a file")
	return f.command("diff --file FILE | --candidate DIGEST", "Shows what would change against the bundle in force.",
		"diff --file bundle.toml", func(ctx context.Context) error {
			clients, err := f.open()
			if err != nil {
				return errors.Trace(err)
			}
			defer clients.close()
			to, err := diffTarget(ctx, clients, *file, *candidate)
			if err != nil {
				return errors.Trace(err)
			}
			var from *bundle.Bundle
			inForce, err := clients.operator.InForce(ctx)
			if err != nil && !errors.Is(err, platform.ErrNotFound) {
				return errors.Trace(err)
			}
			from = inForce.Bundle
			changes := []wireChange{}
			text := ""
			for _, c := range bundle.Diff(from, to) {
				changes = append(changes, wireChange{Key: c.Key, Before: c.Before, After: c.After})
				text += fmt.Sprintf("%s: %q -> %q\n", c.Key, c.Before, c.After)
			}
			return f.print(stdout, changes, "%s%d changes against version %d\n", text, len(changes), inForce.Head.Version)
		})
}

func diffTarget(ctx context.Context, clients *operatorClients, file, candidate string) (*bundle.Bundle, error) {
	if candidate == "" {
		return readBundleFile(file)
	}
	id, err := candidateDigest(candidate)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return clients.operator.Candidate(ctx, id)
}
