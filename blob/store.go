package blob

import (
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/renameio/v2"
)

// Default limits of a Store.
const (
	defaultMaxAge  = 24 * time.Hour
	defaultMaxSize = 16 << 30
)

// A Store is one data folder. Set the exported fields before its first use. It is safe
// for concurrent use.
type Store struct {
	Folder  string
	MaxAge  time.Duration // age at which Sweep removes a payload; 0 means a day
	MaxSize int64         // total size of all payloads, in bytes; 0 means 16 GB

	mu     sync.Mutex
	loaded bool  // used is valid
	used   int64 // total size of all files, in bytes
}

// An Entry describes a stored payload.
type Entry struct {
	Digest string
	Size   int64 // in bytes
	Stored time.Time
}

// Put stores data under its digest, which it verifies. It returns after the data is synced
// to the disk, so that the payload survives a power failure.
func (st *Store) Put(digest string, data []byte) error {
	if Digest(data) != digest {
		return errors.Wrapf(ErrBadDigest, "put %s: %d bytes", digest, len(data))
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.has(digest) {
		return st.renew(digest)
	}
	if err := st.loadUsed(); err != nil {
		return err
	}
	if st.used+int64(len(data)) > st.maxSize() {
		return errors.Wrapf(ErrFull, "put %s: %d of %d bytes used", digest, st.used, st.maxSize())
	}
	path := st.path(digest)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	if err := renameio.WriteFile(path, data, 0o644); err != nil {
		return err
	}
	st.used += int64(len(data))
	return syncFolder(filepath.Dir(path))
}

// has reports whether the folder has a valid copy of a payload.
func (st *Store) has(digest string) bool {
	data, err := os.ReadFile(st.path(digest))
	return err == nil && Digest(data) == digest
}

// renew resets a payload's age. Otherwise a sweep could remove it right after a Put of
// the same payload.
func (st *Store) renew(digest string) error {
	now := time.Now()
	return os.Chtimes(st.path(digest), now, now)
}

// Get returns the payload, or ErrMissing if there is no valid copy of it.
//
// It removes a file whose content doesn't match the digest, after a crash or a disk error,
// so that a trainer never receives it and Fetch can restore it from another copy.
func (st *Store) Get(digest string) ([]byte, error) {
	if !ValidDigest(digest) {
		return nil, errors.Wrapf(ErrBadDigest, "get %q", digest)
	}
	data, err := os.ReadFile(st.path(digest))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, errors.Mark(err, ErrMissing)
	case err != nil:
		return nil, err // not ErrMissing, as the file may exist
	}
	if Digest(data) != digest {
		if err := st.Delete(digest); err != nil {
			return nil, errors.Mark(err, ErrMissing)
		}
		return nil, errors.Wrapf(ErrMissing, "get %s: bad content", digest)
	}
	return data, nil
}

// Delete removes a payload. It returns nil if there is none.
func (st *Store) Delete(digest string) error {
	if !ValidDigest(digest) {
		return errors.Wrapf(ErrBadDigest, "delete %q", digest)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.remove(st.path(digest))
}

// List returns the payloads, sorted by digest.
func (st *Store) List() ([]Entry, error) {
	var ens []Entry
	err := st.walk(func(path string, fi fs.FileInfo) error {
		if ValidDigest(filepath.Base(path)) {
			ens = append(ens, Entry{Digest: filepath.Base(path), Size: fi.Size(), Stored: fi.ModTime()})
		}
		return nil
	})
	sort.Slice(ens, func(i, j int) bool { return ens[i].Digest < ens[j].Digest })
	return ens, err
}

// Sweep removes the files that are older than MaxAge as of now, and returns their number.
// They belong to dropped attempts and crashed owners, since owners delete acknowledged
// payloads much earlier.
func (st *Store) Sweep(now time.Time) (int, error) {
	maxAge := st.MaxAge
	if maxAge == 0 {
		maxAge = defaultMaxAge
	}
	removed := 0
	err := st.walk(func(path string, fi fs.FileInfo) error {
		if now.Sub(fi.ModTime()) <= maxAge {
			return nil
		}
		st.mu.Lock()
		defer st.mu.Unlock()
		removed++
		return st.remove(path)
	})
	return removed, err
}

func (st *Store) maxSize() int64 {
	if st.MaxSize == 0 {
		return defaultMaxSize
	}
	return st.MaxSize
}

func (st *Store) path(digest string) string {
	return filepath.Join(st.Folder, digest[:2], digest)
}

// loadUsed computes used on the first call. The caller holds mu.
func (st *Store) loadUsed() error {
	if st.loaded {
		return nil
	}
	st.used = 0
	err := st.walk(func(_ string, fi fs.FileInfo) error {
		st.used += fi.Size()
		return nil
	})
	st.loaded = err == nil
	return err
}

// remove deletes a file if it exists. The caller holds mu.
func (st *Store) remove(path string) error {
	if err := st.loadUsed(); err != nil {
		return err
	}
	fi, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := os.Remove(path); err != nil {
		return err
	}
	st.used -= fi.Size()
	return nil
}

// walk calls visit for each file in the folder, which need not exist.
func (st *Store) walk(visit func(path string, fi fs.FileInfo) error) error {
	err := filepath.Walk(st.Folder, func(path string, fi fs.FileInfo, err error) error {
		if errors.Is(err, fs.ErrNotExist) {
			return nil // removed concurrently
		}
		if err != nil || fi.IsDir() {
			return err
		}
		return visit(path, fi)
	})
	return errors.Wrapf(err, "read %s", st.Folder)
}

// syncFolder syncs a directory to the disk.
func syncFolder(path string) error {
	fo, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.CombineErrors(fo.Sync(), fo.Close())
}
