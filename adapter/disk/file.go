package disk

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"

	"github.com/mangoknot/mangoknot/core/domain"
)

const (
	fileSuffix = ".rec"
	newSuffix  = ".new"
	fileMode   = 0o600
	// readBufferBytes is the size of the buffer through which a file is read.
	readBufferBytes = 64 << 10
	// replaceFrameRecords is the number of records in one frame of a replacement.
	replaceFrameRecords = 256
)

// streamName allows only names that are valid file names inside the folder.
var streamName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// file is an open append-only file.
type file interface {
	Write([]byte) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// files is the part of the file system that a store uses. Tests replace it to
// inject failures.
type files interface {
	// OpenRead opens a file for reading and returns its size in bytes.
	OpenRead(name string) (io.ReadCloser, int64, error)
	// Open opens a file for appending and creates it if it does not exist. With
	// truncate the old content is discarded.
	Open(name string, truncate bool) (file, error)
	Rename(from, to string) error
	SyncFolder() error
}

// osFiles implements files with a folder of the operating system.
type osFiles struct{ folder string }

func (o osFiles) OpenRead(name string) (io.ReadCloser, int64, error) {
	f, err := os.Open(filepath.Join(o.folder, name))
	if err != nil {
		return nil, 0, err
	}
	info, err := f.Stat()
	if err != nil {
		return nil, 0, errors.Join(err, f.Close())
	}
	return f, info.Size(), nil
}

func (o osFiles) Open(name string, truncate bool) (file, error) {
	flags := os.O_CREATE | os.O_WRONLY | os.O_APPEND
	if truncate {
		flags |= os.O_TRUNC
	}
	return os.OpenFile(filepath.Join(o.folder, name), flags, fileMode)
}

func (o osFiles) Rename(from, to string) error {
	return os.Rename(filepath.Join(o.folder, from), filepath.Join(o.folder, to))
}

func (o osFiles) SyncFolder() error {
	d, err := os.Open(o.folder)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// CorruptError reports a file whose content is damaged before its last write, or
// whose records cannot be decoded or applied. Offset is in bytes.
type CorruptError struct {
	File   string
	Offset int64
	Err    error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("disk: %s is damaged at offset %d: %v; move the file away and rejoin this VM as a learner, or restore it from a backup", e.File, e.Offset, e.Err)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }

// fileStore stores a stream in one append-only file.
type fileStore struct {
	files files
	name  string
	codec Codec
	file  file // nil until the file has been read and its torn tail removed
}

func newFileStore(f files, stream string, codec Codec) (store, error) {
	if !streamName.MatchString(stream) {
		return nil, fmt.Errorf("disk: stream name %q: use letters, digits, dots, dashes and underscores", stream)
	}
	return &fileStore{files: f, name: stream + fileSuffix, codec: codec}, nil
}

func (s *fileStore) load(apply func(domain.Record) error) error {
	if s.file != nil {
		return fmt.Errorf("disk: %s is already open for writing; load it before the first write", s.name)
	}
	return s.open(apply)
}

// open reads the file, passes its records to apply unless that is nil, removes a
// torn tail, and keeps the file open for appending.
func (s *fileStore) open(apply func(domain.Record) error) error {
	size, intact, err := s.read(apply)
	if err != nil {
		return err
	}
	f, err := s.files.Open(s.name, false)
	if err != nil {
		return fmt.Errorf("disk: open %s: %w", s.name, err)
	}
	if err := s.repair(f, size, intact); err != nil {
		return errors.Join(fmt.Errorf("disk: prepare %s (check space and permissions): %w", s.name, err), f.Close())
	}
	s.file = f
	return nil
}

// read passes the records of the file to apply, one frame at a time, so that memory holds what
// apply keeps and not the file. It returns the size of the file and that of its intact part.
func (s *fileStore) read(apply func(domain.Record) error) (size, intact int64, err error) {
	f, size, err := s.files.OpenRead(s.name)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, fmt.Errorf("disk: read %s: %w", s.name, err)
	}
	intact, err = readFile(bufio.NewReaderSize(f, readBufferBytes), size, func(b []byte) error {
		if apply == nil {
			return nil
		}
		r, err := s.codec.DecodeRecord(b)
		if err != nil {
			return err
		}
		return apply(r)
	})
	var failed *readError
	switch {
	case errors.As(err, &failed):
		err = fmt.Errorf("disk: read %s: %w", s.name, failed.err)
	case err != nil:
		err = &CorruptError{File: s.name, Offset: intact, Err: err}
	}
	return size, intact, errors.Join(err, f.Close())
}

// repair truncates the file to its intact part and writes a missing header.
func (s *fileStore) repair(f file, size, intact int64) error {
	if intact > 0 && intact == size {
		return nil
	}
	if err := f.Truncate(intact); err != nil {
		return err
	}
	if intact == 0 {
		if _, err := f.Write(fileHeader()); err != nil {
			return err
		}
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return s.files.SyncFolder()
}

func (s *fileStore) append(records []domain.Record) error {
	if s.file == nil {
		if err := s.open(nil); err != nil {
			return err
		}
	}
	frame, err := s.encode(nil, records)
	if err != nil {
		return err
	}
	return s.writeSynced(s.file, frame)
}

// encode appends one frame with the records to out.
func (s *fileStore) encode(out []byte, records []domain.Record) ([]byte, error) {
	var payload []byte
	for _, r := range records {
		b, err := s.codec.EncodeRecord(r)
		if err != nil {
			return nil, fmt.Errorf("disk: encode a record of %s: %w", s.name, err)
		}
		payload = appendRecord(payload, b)
	}
	return appendFrame(out, payload)
}

// writeSynced writes the data and syncs the file.
func (s *fileStore) writeSynced(f file, data []byte) error {
	if err := s.write(f, data); err != nil {
		return err
	}
	return s.sync(f)
}

func (s *fileStore) write(f file, data []byte) error {
	if _, err := f.Write(data); err != nil {
		return fmt.Errorf("disk: write %s (check the free space): %w", s.name, err)
	}
	return nil
}

func (s *fileStore) sync(f file) error {
	if err := f.Sync(); err != nil {
		return fmt.Errorf("disk: sync %s (check the device): %w", s.name, err)
	}
	return nil
}

// replace keeps the old file until the new one is complete and durable.
func (s *fileStore) replace(records []domain.Record) error {
	f, err := s.files.Open(s.name+newSuffix, true)
	if err != nil {
		return fmt.Errorf("disk: create %s: %w", s.name+newSuffix, err)
	}
	if err := s.writeAll(f, records); err != nil {
		// Gives back the space, which the other streams may need.
		return errors.Join(err, f.Truncate(0), f.Close())
	}
	if err := s.install(); err != nil {
		return errors.Join(err, f.Close())
	}
	old := s.file
	s.file = f
	if old != nil {
		return old.Close()
	}
	return nil
}

// writeAll writes the header and all records to a new file and syncs it. It writes one frame
// after the other, so that a full disk is noticed early and memory holds one frame at a time.
func (s *fileStore) writeAll(f file, records []domain.Record) error {
	if err := s.write(f, fileHeader()); err != nil {
		return err
	}
	var frame []byte
	for part := range slices.Chunk(records, replaceFrameRecords) {
		var err error
		if frame, err = s.encode(frame[:0], part); err != nil {
			return err
		}
		if err := s.write(f, frame); err != nil {
			return err
		}
	}
	return s.sync(f)
}

// install renames the new file to the name of the stream. The folder is synced after the
// rename, because a crash could undo the rename otherwise.
func (s *fileStore) install() error {
	if err := s.files.Rename(s.name+newSuffix, s.name); err != nil {
		return fmt.Errorf("disk: rename %s: %w", s.name+newSuffix, err)
	}
	if err := s.files.SyncFolder(); err != nil {
		return fmt.Errorf("disk: sync the folder of %s: %w", s.name, err)
	}
	return nil
}

func (s *fileStore) close() error {
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}
