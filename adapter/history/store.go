// Package history implements port.HistoryStore, either in memory or with one file
// for each turn below the data folder.
package history

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// verify returns a *port.CorruptHistoryError unless the data matches the length
// and checksum of the reference.
func verify(ref port.HistoryRef, data []byte) error {
	if int64(len(data)) != ref.Length {
		return &port.CorruptHistoryError{Ref: ref, Detail: fmt.Sprintf("%d bytes instead of %d", len(data), ref.Length)}
	}
	if sha256.Sum256(data) != ref.SHA256 {
		return &port.CorruptHistoryError{Ref: ref, Detail: "wrong checksum"}
	}
	return nil
}

// Memory stores turns in memory, for VMs without a data folder. It is safe for
// concurrent use.
type Memory struct {
	mu    sync.RWMutex
	turns map[domain.ProgramID]map[[sha256.Size]byte][]byte
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{turns: map[domain.ProgramID]map[[sha256.Size]byte][]byte{}}
}

// Put implements port.HistoryStore.
func (m *Memory) Put(_ context.Context, ref port.HistoryRef, data []byte) error {
	if err := verify(ref, data); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	stored, ok := m.turns[ref.Program]
	if !ok {
		stored = map[[sha256.Size]byte][]byte{}
		m.turns[ref.Program] = stored
	}
	stored[ref.SHA256] = data
	return nil
}

// Get implements port.HistoryStore.
func (m *Memory) Get(_ context.Context, ref port.HistoryRef) ([]byte, error) {
	m.mu.RLock()
	data, ok := m.turns[ref.Program][ref.SHA256]
	m.mu.RUnlock()
	if !ok {
		return nil, port.ErrHistoryMissing
	}
	if err := verify(ref, data); err != nil {
		return nil, err
	}
	return data, nil
}

// Has implements port.HistoryStore.
func (m *Memory) Has(ref port.HistoryRef) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	_, ok := m.turns[ref.Program][ref.SHA256]
	return ok
}

// Delete implements port.HistoryStore.
func (m *Memory) Delete(_ context.Context, program domain.ProgramID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.turns, program)
	return nil
}

// Files stores one file for each turn. Folder and file names are hashes, so that
// names chosen by callers cannot become paths. It is safe for concurrent use.
type Files struct {
	root string
}

// Open returns a store in the folder root, which is created if it does not exist.
func Open(root string) (*Files, error) {
	if err := os.MkdirAll(root, 0o700); err != nil {
		return nil, fmt.Errorf("history: create folder %s (check the data folder and its permissions): %w", root, err)
	}
	return &Files{root: root}, nil
}

func (f *Files) folder(program domain.ProgramID) string {
	sum := sha256.Sum256([]byte(string(program.Account) + "\x00" + string(program.Name)))
	return filepath.Join(f.root, fmt.Sprintf("%02x", sum[0]), fmt.Sprintf("%x", sum[1:]))
}

func (f *Files) file(ref port.HistoryRef) string {
	return filepath.Join(f.folder(ref.Program), fmt.Sprintf("%x", ref.SHA256))
}

// Put implements port.HistoryStore. The file and its folder entry are synced.
func (f *Files) Put(_ context.Context, ref port.HistoryRef, data []byte) error {
	if err := verify(ref, data); err != nil {
		return err
	}
	folder := f.folder(ref.Program)
	created, err := makeFolders(f.root, folder)
	if err != nil {
		return fmt.Errorf("history: create folder: %w", err)
	}
	if err := writeSynced(folder, f.file(ref), data); err != nil {
		return fmt.Errorf("history: store %x: %w", ref.SHA256[:4], err)
	}
	for _, parent := range append(created, folder) {
		if err := syncFolder(parent); err != nil {
			return fmt.Errorf("history: sync folder: %w", err)
		}
	}
	return nil
}

// makeFolders creates the folder if needed. It returns the parent folders that
// must be synced because their entries may have changed.
func makeFolders(root, folder string) ([]string, error) {
	if _, err := os.Stat(folder); err == nil {
		return nil, nil
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	return []string{root, filepath.Dir(folder)}, nil
}

// writeSynced writes a temporary file, syncs it and renames it, so that a file
// with its final name is always complete.
func writeSynced(folder, name string, data []byte) error {
	temporary, err := os.CreateTemp(folder, "tmp-*")
	if err != nil {
		return err
	}
	defer os.Remove(temporary.Name())
	if _, err := temporary.Write(data); err != nil {
		return errors.Join(err, temporary.Close())
	}
	if err := temporary.Sync(); err != nil {
		return errors.Join(err, temporary.Close())
	}
	if err := temporary.Close(); err != nil {
		return err
	}
	return os.Rename(temporary.Name(), name)
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// Get implements port.HistoryStore.
func (f *Files) Get(_ context.Context, ref port.HistoryRef) ([]byte, error) {
	data, err := os.ReadFile(f.file(ref))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, port.ErrHistoryMissing
	}
	if err != nil {
		return nil, fmt.Errorf("history: read %x: %w", ref.SHA256[:4], err)
	}
	if err := verify(ref, data); err != nil {
		return nil, err
	}
	return data, nil
}

// Has implements port.HistoryStore.
func (f *Files) Has(ref port.HistoryRef) bool {
	info, err := os.Stat(f.file(ref))
	return err == nil && info.Size() == ref.Length
}

// Delete implements port.HistoryStore.
func (f *Files) Delete(_ context.Context, program domain.ProgramID) error {
	if err := os.RemoveAll(f.folder(program)); err != nil {
		return fmt.Errorf("history: delete program: %w", err)
	}
	return nil
}
