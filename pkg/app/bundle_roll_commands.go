package app

import (
	"context"
	"io"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/bundlestore"
	"github.com/sequoiacart/sequoiacart/pkg/operator"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

type wireCandidate struct {
	Candidate string `json:"candidate"`
	Version   uint64 `json:"version"`
	Signed    bool   `json:"signed"`
	Operator  string `json:"operator"`
}

func encodeCandidate(c bundlestore.CandidateRow) wireCandidate {
	return wireCandidate{Candidate: string(c.ID), Version: uint64(c.Head.Version), Signed: c.Signed(), Operator: string(c.Operator)}
}

func newBundlePrepareCommand(stdout, stderr io.Writer) *ffcli.Command {
	f := newBundleFlags("prepare", stderr).withPlatform().withOperator()
	file := f.set.String("file", "", "TOML file of the bundle")
	return f.command("prepare --file FILE", "Uploads a bundle as the next version; every VM fetches and checks it.",
		"prepare --file bundle.toml --operator ana", func(ctx context.Context) error {
			b, err := readBundleFile(*file)
			if err != nil {
				return errors.Trace(err)
			}
			clients, err := f.open()
			if err != nil {
				return errors.Trace(err)
			}
			defer clients.close()
			c, err := clients.operator.Prepare(ctx, b)
			if err != nil {
				return errors.Trace(err)
			}
			return f.print(stdout, encodeCandidate(c), "version %d is prepared by %s\ncandidate %s\n", c.Head.Version, c.Operator, c.ID)
		})
}

func newBundleSignCommand(stdout, stderr io.Writer) *ffcli.Command {
	f := newBundleFlags("sign", stderr).withPlatform().withOperator()
	candidate := f.set.String("candidate", "", "digest that prepare printed")
	signer := f.set.String("owner", "", "owner whose month it is")
	keyFile := f.set.String("key-file", "", "file that keygen wrote")
	month := f.set.String("month", "", "month to sign for, such as 2026-12; default: the current month in UTC")
	return f.command("sign --candidate DIGEST --owner OWNER --key-file FILE", "Signs off a candidate for the owner of the month. Review it with diff first.",
		"sign --candidate 3f0c... --owner norte --key-file norte.key --operator ana", func(ctx context.Context) error {
			id, err := candidateDigest(*candidate)
			if err != nil {
				return errors.Trace(err)
			}
			key, err := operator.ReadKeyFile(*keyFile)
			if err != nil {
				return errors.Trace(err)
			}
			clients, err := f.open()
			if err != nil {
				return errors.Trace(err)
			}
			defer clients.close()
			c, err := clients.operator.Sign(ctx, operator.SignOff{Candidate: id, Signer: owner.ID(*signer), Key: key, Month: bundle.Month(*month)})
			if err != nil {
				return errors.Trace(err)
			}
			return f.print(stdout, encodeCandidate(c), "version %d is signed by %s\ncandidate %s\n", c.Head.Version, *signer, c.ID)
		})
}

type wireRoll struct {
	Version     uint64 `json:"version"`
	Head        string `json:"head"`
	Operator    string `json:"operator"`
	NotifiedVMs int    `json:"toldVMs"`
	VMs         int    `json:"vms"`
}

func newBundleRollCommand(stdout, stderr io.Writer) *ffcli.Command {
	f := newBundleFlags("roll", stderr).withPlatform().withOperator()
	candidate := f.set.String("candidate", "", "digest that prepare printed")
	return f.command("roll --candidate DIGEST", "Puts a signed candidate into force. It may be run again after a failure.",
		"roll --candidate 3f0c... --operator ana", func(ctx context.Context) error {
			id, err := candidateDigest(*candidate)
			if err != nil {
				return errors.Trace(err)
			}
			clients, err := f.open()
			if err != nil {
				return errors.Trace(err)
			}
			defer clients.close()
			// Read the reports before the roll, so that a slow platform doesn't delay the announcement.
			reports, err := clients.fleet.Store.Reports(ctx)
			if err != nil {
				return errors.Trace(err)
			}
			row, err := clients.operator.Roll(ctx, id)
			if err != nil {
				return errors.Trace(err)
			}
			w := wireRoll{Version: uint64(row.Head.Version), Head: string(row.Head.Digest), Operator: string(row.Operator), VMs: len(reports)}
			// The bundle is accepted; VMs that the announcement doesn't reach find it when they poll.
			if announcement, err := clients.operator.Announcement(ctx, row.Head); err == nil {
				w.NotifiedVMs = clients.fleet.Announce(ctx, reports, announcement)
			}
			return f.print(stdout, w, "version %d is accepted, rolled by %s; %d of %d VMs notified\nhead %s\n", w.Version, w.Operator, w.NotifiedVMs, w.VMs, w.Head)
		})
}
