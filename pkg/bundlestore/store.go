// Package bundlestore stores bundles at the platform: heads and sections as objects named by
// digest, and rows for the head in force, the candidates and the reports of VMs.
package bundlestore

import (
	"context"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
)

// Store reads and writes bundles at the platform.
type Store struct {
	table   platform.Table
	objects platform.Objects
}

// New returns a store on top of the platform's services.
func New(t platform.Table, o platform.Objects) *Store {
	return &Store{table: t, objects: o}
}

const (
	headKey         platform.Key = "bundle/head"
	candidatePrefix platform.Key = "bundle/candidate/"
	reportPrefix    platform.Key = "bundle/report/"
	objectPrefix                 = "bundle-"
)

// Object returns the bytes of a head or section, and fails if they do not match the digest.
func (s *Store) Object(ctx context.Context, d bundle.Digest) ([]byte, error) {
	body, err := s.objects.Get(ctx, objectName(d))
	if err != nil {
		return nil, errors.Annotatef(err, "read bundle object %s", d)
	}
	if bundle.DigestOf(body) != d {
		return nil, errors.Annotatef(ErrChangedBytes, "read bundle object %s", d)
	}
	return body, nil
}

// ErrChangedBytes means that the bytes of an object do not match the digest in its name.
const ErrChangedBytes = errors.ConstError("the bytes have another digest")

// PutObject writes a head or section under its digest.
func (s *Store) PutObject(ctx context.Context, body []byte) (bundle.Digest, error) {
	d := bundle.DigestOf(body)
	return d, errors.Annotatef(s.objects.Put(ctx, objectName(d), body), "write bundle object %s", d)
}

// Head returns a head by its digest.
func (s *Store) Head(ctx context.Context, d bundle.Digest) (bundle.Head, error) {
	body, err := s.Object(ctx, d)
	if err != nil {
		return bundle.Head{}, errors.Trace(err)
	}
	return bundle.DecodeHead(body)
}

// Sections returns all sections of a head.
func (s *Store) Sections(ctx context.Context, h bundle.Head) (bundle.Sections, error) {
	sections := make(bundle.Sections)
	for _, d := range h.SectionDigests() {
		body, err := s.Object(ctx, d)
		if err != nil {
			return nil, errors.Trace(err)
		}
		sections[d] = body
	}
	return sections, nil
}

// HeadRow returns the row of the head in force and its revision. It fails with
// platform.ErrNotFound before the first roll.
func (s *Store) HeadRow(ctx context.Context) (HeadRow, platform.Revision, error) {
	row, err := s.table.Get(ctx, headKey)
	if err != nil {
		return HeadRow{}, 0, errors.Annotate(err, "read bundle head row")
	}
	h, err := decodeHeadRow(row.Value)
	return h, row.Revision, errors.Trace(err)
}

// WriteHeadRow puts a head into force by compare-and-set. It returns the row of the writer
// that succeeded, which may be another one.
func (s *Store) WriteHeadRow(ctx context.Context, expected platform.Revision, h HeadRow) (HeadRow, error) {
	outcome, err := platform.CompareAndSet(ctx, s.table, platform.Write{
		Key:      headKey,
		Expected: expected,
		Value:    encodeHeadRow(h),
		IsOwn: func(value []byte) bool {
			written, err := decodeHeadRow(value)
			return err == nil && written.Token == h.Token
		},
	})
	if err != nil {
		return HeadRow{}, errors.Annotate(err, "write bundle head row")
	}
	if conflict, ok := outcome.(platform.Conflicted); ok {
		if conflict.Row.Revision == 0 {
			return HeadRow{}, errors.Annotate(platform.ErrNotFound, "write bundle head row: the row was deleted")
		}
		return decodeHeadRow(conflict.Row.Value)
	}
	return h, nil
}

// Candidates returns the prepared candidates, sorted by id.
func (s *Store) Candidates(ctx context.Context) ([]CandidateRow, error) {
	rows, err := s.table.List(ctx, candidatePrefix)
	if err != nil {
		return nil, errors.Annotate(err, "list bundle candidates")
	}
	candidates := make([]CandidateRow, len(rows))
	for i, r := range rows {
		if candidates[i], err = decodeCandidateRow(r.Value); err != nil {
			return nil, errors.Annotatef(err, "row %s", r.Key)
		}
	}
	return candidates, nil
}

// Candidate returns a prepared candidate and the revision of its row.
func (s *Store) Candidate(ctx context.Context, id bundle.Digest) (CandidateRow, platform.Revision, error) {
	row, err := s.table.Get(ctx, candidateKey(id))
	if err != nil {
		return CandidateRow{}, 0, errors.Annotatef(err, "read bundle candidate %s", id)
	}
	c, err := decodeCandidateRow(row.Value)
	return c, row.Revision, errors.Trace(err)
}

// WriteCandidate writes the row of a candidate by compare-and-set. It returns the row of the
// writer that succeeded, which may be another one.
func (s *Store) WriteCandidate(ctx context.Context, expected platform.Revision, c CandidateRow) (CandidateRow, error) {
	outcome, err := platform.CompareAndSet(ctx, s.table, platform.Write{
		Key:      candidateKey(c.ID),
		Expected: expected,
		Value:    encodeCandidateRow(c),
		IsOwn: func(value []byte) bool {
			written, err := decodeCandidateRow(value)
			return err == nil && written.Token == c.Token
		},
	})
	if err != nil {
		return CandidateRow{}, errors.Annotatef(err, "write bundle candidate %s", c.ID)
	}
	if conflict, ok := outcome.(platform.Conflicted); ok {
		if conflict.Row.Revision == 0 {
			return CandidateRow{}, errors.Annotatef(platform.ErrNotFound, "write bundle candidate %s: the row was deleted", c.ID)
		}
		return decodeCandidateRow(conflict.Row.Value)
	}
	return c, nil
}

// DeleteCandidate deletes the row of a candidate that can no longer be rolled.
func (s *Store) DeleteCandidate(ctx context.Context, id bundle.Digest) error {
	row, err := s.table.Get(ctx, candidateKey(id))
	if err != nil {
		return errors.Annotatef(err, "read bundle candidate %s", id)
	}
	return errors.Annotatef(s.table.Delete(ctx, row.Key, row.Revision), "delete bundle candidate %s", id)
}

// Reports returns the latest reports of all VMs.
func (s *Store) Reports(ctx context.Context) ([]Report, error) {
	rows, err := s.table.List(ctx, reportPrefix)
	if err != nil {
		return nil, errors.Annotate(err, "list bundle reports")
	}
	reports := make([]Report, len(rows))
	for i, r := range rows {
		if reports[i], err = decodeReport(r.Value); err != nil {
			return nil, errors.Annotatef(err, "row %s", r.Key)
		}
	}
	return reports, nil
}

// WriteReport replaces the report of a VM.
func (s *Store) WriteReport(ctx context.Context, r Report) error {
	key := reportKey(r)
	row, err := s.table.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return errors.Annotate(err, "read bundle report")
	}
	_, err = s.table.Put(ctx, key, row.Revision, encodeReport(r))
	return errors.Annotate(err, "write bundle report")
}

// DeleteReport deletes the report of a VM that is shutting down.
func (s *Store) DeleteReport(ctx context.Context, r Report) error {
	row, err := s.table.Get(ctx, reportKey(r))
	if err != nil {
		return errors.Annotate(err, "read bundle report")
	}
	return errors.Annotate(s.table.Delete(ctx, row.Key, row.Revision), "delete bundle report")
}

func reportKey(r Report) platform.Key {
	return reportPrefix + platform.Key(r.VM.Incarnation.VM())
}

func candidateKey(id bundle.Digest) platform.Key {
	return candidatePrefix + platform.Key(id)
}

func objectName(d bundle.Digest) platform.ObjectName {
	return platform.ObjectName(objectPrefix + string(d))
}
