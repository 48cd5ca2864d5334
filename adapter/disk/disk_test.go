package disk

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/adapter/codec"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// testRecord is the record of these tests.
type testRecord struct{ Text string }

func (*testRecord) RecordName() string { return "test.note" }

func testRecords(texts ...string) []domain.Record {
	records := make([]domain.Record, len(texts))
	for i, text := range texts {
		records[i] = &testRecord{text}
	}
	return records
}

func newCodec(t testing.TB) *codec.Codec {
	c, err := codec.New(nil, []domain.Record{&testRecord{}})
	must.NoError(t, err)
	return c
}

// read returns the texts of all records of a stream.
func read(t testing.TB, d *Disk, stream string) []string {
	t.Helper()
	var texts []string
	must.NoError(t, d.Load(stream, func(r domain.Record) error {
		texts = append(texts, r.(*testRecord).Text)
		return nil
	}))
	return texts
}

// appendWait appends records and waits for the result.
func appendWait(d *Disk, stream string, texts ...string) error {
	done := make(chan error, 1)
	d.Append(stream, testRecords(texts...), func(err error) { done <- err })
	return <-done
}

// replaceWait replaces a stream and waits for the result.
func replaceWait(d *Disk, stream string, texts ...string) error {
	done := make(chan error, 1)
	d.Replace(stream, testRecords(texts...), func(err error) { done <- err })
	return <-done
}

// faultyFiles fails writes, syncs and renames on demand and counts syncs.
type faultyFiles struct {
	osFiles
	writeErr, syncErr, renameErr atomic.Pointer[error]
	syncs                        atomic.Int64
	syncGate                     chan struct{} // when set, a sync blocks until it is closed
}

type faultyFile struct {
	file
	files *faultyFiles
}

func (f *faultyFiles) Open(name string, truncate bool) (file, error) {
	inner, err := f.osFiles.Open(name, truncate)
	return &faultyFile{inner, f}, err
}

func (f *faultyFiles) Rename(from, to string) error {
	if err := f.renameErr.Load(); err != nil {
		return *err
	}
	return f.osFiles.Rename(from, to)
}

// Write writes half of the data before it fails, like a full disk.
func (f *faultyFile) Write(data []byte) (int, error) {
	if err := f.files.writeErr.Load(); err != nil {
		n, _ := f.file.Write(data[:len(data)/2])
		return n, *err
	}
	return f.file.Write(data)
}

func (f *faultyFile) Sync() error {
	f.files.syncs.Add(1)
	if f.files.syncGate != nil {
		<-f.files.syncGate
	}
	if err := f.files.syncErr.Load(); err != nil {
		return *err
	}
	return f.file.Sync()
}

func newFaultyDisk(t testing.TB, folder string, queue int) (*faultyFiles, *Disk) {
	f := &faultyFiles{osFiles: osFiles{folder}}
	c := newCodec(t)
	return f, newDisk(queue, func(name string) (store, error) { return newFileStore(f, name, c) })
}

// Guards against records that are lost, reordered or mixed up between streams
// across restarts and replacements, with and without a folder.
func TestAppendLoadReplace(t *testing.T) {
	folder := t.TempDir()
	memory := NewMemory(0)
	for name, open := range map[string]func() *Disk{
		"folder": func() *Disk { return New(folder, newCodec(t), 0) },
		"memory": func() *Disk { return memory },
	} {
		d := open()
		must.SliceEmpty(t, read(t, d, "a"))
		must.NoError(t, appendWait(d, "a", "1", "2"))
		must.NoError(t, appendWait(d, "b", "other"))
		must.NoError(t, appendWait(d, "a", "3"))
		if name == "folder" {
			must.NoError(t, d.Close())
			d = open()
		}
		must.Eq(t, []string{"1", "2", "3"}, read(t, d, "a"))
		must.NoError(t, replaceWait(d, "a", "x"))
		must.NoError(t, appendWait(d, "a", "y"))
		if name == "folder" {
			must.NoError(t, d.Close())
			d = open()
		}
		must.Eq(t, []string{"x", "y"}, read(t, d, "a"))
		must.Eq(t, []string{"other"}, read(t, d, "b"))
		must.NoError(t, d.Close())
		must.ErrorIs(t, appendWait(d, "a", "late"), port.ErrDiskClosed)
	}
}

// Guards against data loss after a crash during the last write: a file truncated
// at any length yields the records of its complete frames and accepts appends.
func TestTornTail(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "s.rec")
	d := New(folder, newCodec(t), 0)
	must.NoError(t, appendWait(d, "s", "first"))
	info, err := os.Stat(path)
	must.NoError(t, err)
	must.NoError(t, appendWait(d, "s", "second", "third"))
	must.NoError(t, d.Close())
	whole, err := os.ReadFile(path)
	must.NoError(t, err)
	for size := 0; size < len(whole); size++ {
		must.NoError(t, os.WriteFile(path, whole[:size], 0o600))
		d := New(folder, newCodec(t), 0)
		want := []string{"first"}
		if int64(size) < info.Size() {
			want = nil
		}
		must.Eq(t, want, read(t, d, "s"), must.Sprintf("cut at %d", size))
		must.NoError(t, appendWait(d, "s", "next"))
		must.NoError(t, d.Close())
		d = New(folder, newCodec(t), 0)
		must.Eq(t, append(want, "next"), read(t, d, "s"))
		must.NoError(t, d.Close())
	}
}

// Guards against silently dropping synced records: a changed byte anywhere before
// the last frame is an error that names the file, the offset and a remedy.
func TestCorruptMiddle(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "s.rec")
	d := New(folder, newCodec(t), 0)
	must.NoError(t, appendWait(d, "s", "first"))
	info, err := os.Stat(path)
	must.NoError(t, err)
	must.NoError(t, appendWait(d, "s", "second"))
	must.NoError(t, d.Close())
	whole, err := os.ReadFile(path)
	must.NoError(t, err)
	for i := range info.Size() {
		damaged := append([]byte{}, whole...)
		damaged[i] ^= 0x20
		must.NoError(t, os.WriteFile(path, damaged, 0o600))
		d := New(folder, newCodec(t), 0)
		err := d.Load("s", func(domain.Record) error { return nil })
		var corrupt *CorruptError
		must.True(t, errors.As(err, &corrupt), must.Sprintf("byte %d", i))
		must.StrContains(t, err.Error(), "s.rec")
		must.StrContains(t, err.Error(), fmt.Sprintf("offset %d", corrupt.Offset))
		must.StrContains(t, err.Error(), "rejoin this VM")
		must.Error(t, appendWait(d, "s", "more"))
		must.NoError(t, d.Close())
	}
}

// Guards against appends after a failed write or sync, whose effect on the disk is unknown,
// against a failed write that damages earlier records, and against a stream that stays failed
// after the disk works again and its whole content was written.
func TestAppendsFailUntilReplaced(t *testing.T) {
	full, broken := error(syscall.ENOSPC), errors.New("device error")
	for name, inject := range map[string]func(*faultyFiles){
		"disk full":  func(f *faultyFiles) { f.writeErr.Store(&full) },
		"sync error": func(f *faultyFiles) { f.syncErr.Store(&broken) },
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			f, d := newFaultyDisk(t, folder, 0)
			must.NoError(t, appendWait(d, "s", "kept"))
			inject(f)
			first := appendWait(d, "s", "lost")
			must.True(t, errors.Is(first, full) || errors.Is(first, broken))
			must.Error(t, replaceWait(d, "s", "kept", "later"))
			f.writeErr.Store(nil)
			f.syncErr.Store(nil)
			err := appendWait(d, "s", "later")
			must.True(t, errors.Is(err, full) || errors.Is(err, broken))
			must.NoError(t, appendWait(d, "other", "works"))

			crashed := New(copyFolder(t, folder), newCodec(t), 0)
			got := read(t, crashed, "s")
			must.Eq(t, "kept", got[0])
			must.SliceNotContains(t, got, "later")
			must.NoError(t, crashed.Close())

			must.NoError(t, replaceWait(d, "s", "kept", "again"))
			must.NoError(t, appendWait(d, "s", "more"))
			must.NoError(t, d.Close())
			restarted := New(folder, newCodec(t), 0)
			must.Eq(t, []string{"kept", "again", "more"}, read(t, restarted, "s"))
			must.NoError(t, restarted.Close())
		})
	}
}

// copyFolder returns a copy of a folder, as a crash would leave it.
func copyFolder(t testing.TB, folder string) string {
	out := t.TempDir()
	must.NoError(t, os.CopyFS(out, os.DirFS(folder)))
	return out
}

// Guards against a replacement of several frames that loses or reorders records, and against
// a failed one that keeps the space of its partial file.
func TestReplaceManyRecords(t *testing.T) {
	folder := t.TempDir()
	f, d := newFaultyDisk(t, folder, 0)
	var texts []string
	for i := range 2*replaceFrameRecords + 1 {
		texts = append(texts, fmt.Sprint(i))
	}
	full := error(syscall.ENOSPC)
	f.writeErr.Store(&full)
	must.ErrorIs(t, replaceWait(d, "s", texts...), full)
	info, err := os.Stat(filepath.Join(folder, "s"+fileSuffix+newSuffix))
	must.NoError(t, err)
	must.Zero(t, info.Size())
	f.writeErr.Store(nil)
	must.NoError(t, replaceWait(d, "s", texts...))
	must.NoError(t, d.Close())
	again := New(folder, newCodec(t), 0)
	must.Eq(t, texts, read(t, again, "s"))
	must.NoError(t, again.Close())
}

// Guards against a replacement that fails before its rename and destroys the old
// content.
func TestReplaceFails(t *testing.T) {
	folder := t.TempDir()
	f, d := newFaultyDisk(t, folder, 0)
	must.NoError(t, appendWait(d, "s", "old"))
	broken := errors.New("rename failed")
	f.renameErr.Store(&broken)
	must.ErrorIs(t, replaceWait(d, "s", "new"), broken)
	must.NoError(t, d.Close())
	again := New(folder, newCodec(t), 0)
	must.Eq(t, []string{"old"}, read(t, again, "s"))
	must.NoError(t, again.Close())
}

// Guards against a separate sync for each record, and against an unbounded queue
// or a gap in the stream when the disk is slow.
func TestGroupCommitAndBusy(t *testing.T) {
	const queue = 50
	folder := t.TempDir()
	f, d := newFaultyDisk(t, folder, queue)
	must.NoError(t, appendWait(d, "s", "0"))
	f.syncGate = make(chan struct{})
	results := make(chan error, 4*queue)
	for i := range 2 * queue {
		d.Append("s", testRecords(fmt.Sprint(i+1)), func(err error) { results <- err })
	}
	before := f.syncs.Load()
	close(f.syncGate)
	rejected := 0
	for range 2 * queue {
		err := <-results
		must.True(t, err == nil || errors.Is(err, port.ErrDiskBusy))
		must.True(t, err != nil || rejected == 0, must.Sprint("an append succeeded after a gap"))
		if err != nil {
			rejected++
		}
	}
	must.Positive(t, rejected)
	must.LessEq(t, before+2, f.syncs.Load())
	must.ErrorIs(t, appendWait(d, "s", "after the gap"), port.ErrDiskBusy)
	must.NoError(t, replaceWait(d, "s", "all"))
	must.NoError(t, appendWait(d, "s", "more"))
	must.NoError(t, d.Close())
	again := New(folder, newCodec(t), 0)
	must.Eq(t, []string{"all", "more"}, read(t, again, "s"))
	must.NoError(t, again.Close())
}

// Guards against stream names that refer to files outside the folder, and against
// reading files of an unknown format version.
func TestRejectsInvalidNamesAndVersions(t *testing.T) {
	folder := t.TempDir()
	d := New(folder, newCodec(t), 0)
	for _, bad := range []string{"", "../x", "a/b", ".hidden", strings.Repeat("x", 200)} {
		must.Error(t, d.Load(bad, nil))
		must.Error(t, appendWait(d, bad, "x"))
	}
	newer := binary.LittleEndian.AppendUint32([]byte(magic), formatVersion+1)
	newer = binary.LittleEndian.AppendUint32(newer, crc32.Checksum(newer, castagnoli))
	must.NoError(t, os.WriteFile(filepath.Join(folder, "s.rec"), newer, 0o600))
	must.ErrorIs(t, d.Load("s", nil), errVersion)
	must.NoError(t, d.Close())
}

// Guards against input that makes the decoder panic, loop, or accept a length
// beyond the input. Accepted input must yield the same number of records after
// its torn tail is removed.
func FuzzReadFile(f *testing.F) {
	frame, err := appendFrame(fileHeader(), appendRecord(nil, []byte("seed")))
	must.NoError(f, err)
	f.Add(frame)
	f.Add(frame[:len(frame)-1])
	f.Fuzz(func(t *testing.T, data []byte) {
		count := 0
		intact, err := readFile(bytes.NewReader(data), int64(len(data)), func([]byte) error { count++; return nil })
		must.Between(t, 0, intact, int64(len(data)))
		if err != nil {
			return
		}
		again := 0
		end, err := readFile(bytes.NewReader(data[:intact]), intact, func([]byte) error { again++; return nil })
		must.NoError(t, err)
		must.Eq(t, intact, end)
		must.Eq(t, count, again)
	})
}

// BenchmarkAppend measures the synced append of one record.
func BenchmarkAppend(b *testing.B) {
	d := New(b.TempDir(), newCodec(b), 0)
	for b.Loop() {
		if err := appendWait(d, "s", "a record of an ordinary length"); err != nil {
			b.Fatal(err)
		}
	}
	must.NoError(b, d.Close())
}

// Guards against a restart that holds the whole file in memory besides its records: on a small VM the
// process would exceed its memory at every start.
func TestLoadHoldsOneFrame(t *testing.T) {
	const frames, frameBytes = 64, 256 << 10
	payload := appendRecord(nil, make([]byte, frameBytes))
	data := fileHeader()
	for range frames {
		var err error
		data, err = appendFrame(data, payload)
		must.NoError(t, err)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	records := 0
	intact, err := readFile(bytes.NewReader(data), int64(len(data)), func([]byte) error { records++; return nil })
	runtime.ReadMemStats(&after)
	must.NoError(t, err)
	must.Eq(t, int64(len(data)), intact)
	must.Eq(t, frames, records)
	must.Less(t, 4*frameBytes, after.TotalAlloc-before.TotalAlloc)
}

// Guards against a record that changes when the next frame is read into the same buffer.
func TestLoadedRecordsKeepTheirBytes(t *testing.T) {
	c, err := codec.New(nil, []domain.Record{&bytesRecord{}})
	must.NoError(t, err)
	folder := t.TempDir()
	d := New(folder, c, 0)
	for _, text := range []string{"first", "other"} {
		done := make(chan error, 1)
		d.Append("s", []domain.Record{&bytesRecord{[]byte(text)}}, func(err error) { done <- err })
		must.NoError(t, <-done)
	}
	must.NoError(t, d.Close())
	var got []string
	var records []*bytesRecord
	must.NoError(t, New(folder, c, 0).Load("s", func(r domain.Record) error {
		records = append(records, r.(*bytesRecord))
		return nil
	}))
	for _, r := range records {
		got = append(got, string(r.Data))
	}
	must.Eq(t, []string{"first", "other"}, got)
}

// bytesRecord is a record with a byte string.
type bytesRecord struct{ Data []byte }

func (*bytesRecord) RecordName() string { return "test.bytes" }
