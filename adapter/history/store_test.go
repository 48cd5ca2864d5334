package history

import (
	"context"
	"crypto/sha256"
	"errors"
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

func refOf(account domain.Account, data string) port.HistoryRef {
	return port.HistoryRef{
		Program: domain.ProgramID{Account: account, Name: "p"},
		Length:  int64(len(data)),
		SHA256:  sha256.Sum256([]byte(data)),
	}
}

// Guards against turns that are lost, mixed up between programs or silently
// corrupt, in both stores.
func TestStores(t *testing.T) {
	files, err := Open(t.TempDir())
	must.NoError(t, err)
	for name, store := range map[string]port.HistoryStore{"memory": NewMemory(), "files": files} {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			first, second := refOf("a", "one"), refOf("b", "two")
			must.NoError(t, store.Put(ctx, first, []byte("one")))
			must.NoError(t, store.Put(ctx, first, []byte("one")))
			must.NoError(t, store.Put(ctx, second, []byte("two")))
			got, err := store.Get(ctx, first)
			must.NoError(t, err)
			must.Eq(t, "one", string(got))
			_, err = store.Get(ctx, refOf("a", "two"))
			must.ErrorIs(t, err, port.ErrHistoryMissing)
			must.True(t, isCorrupt(store.Put(ctx, first, []byte("onE"))))
			must.NoError(t, store.Delete(ctx, first.Program))
			_, err = store.Get(ctx, first)
			must.ErrorIs(t, err, port.ErrHistoryMissing)
			got, err = store.Get(ctx, second)
			must.NoError(t, err)
			must.Eq(t, "two", string(got))
		})
	}
}

// Guards against returning a turn whose file was damaged on the disk.
func TestDamagedFileIsCorrupt(t *testing.T) {
	store, err := Open(t.TempDir())
	must.NoError(t, err)
	ref := refOf("a", "whole answer")
	must.NoError(t, store.Put(context.Background(), ref, []byte("whole answer")))
	must.NoError(t, os.WriteFile(store.file(ref), []byte("whole answeR"), 0o600))
	_, err = store.Get(context.Background(), ref)
	must.True(t, isCorrupt(err))
}

func isCorrupt(err error) bool {
	var corrupt *port.CorruptHistoryError
	return errors.As(err, &corrupt)
}
