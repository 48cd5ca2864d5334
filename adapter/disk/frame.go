package disk

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
)

// A file consists of a header and a sequence of frames. All numbers are unsigned
// and little-endian.
//
//	header: magic (8 bytes), format version (4), CRC-32C of both (4)
//	frame:  payload length (4), CRC-32C of the payload (4), CRC-32C of the first
//	        8 bytes (4), payload
//
// The payload holds one group commit: the length (4) and the bytes of each
// record. A frame is synced before the next one is written, so a crash can tear
// only the last frame.
const (
	magic           = "MKNOTREC"
	formatVersion   = 1
	fileHeaderSize  = 16
	frameHeaderSize = 12
	lengthSize      = 4
	maxPayload      = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errCorrupt reports damage that a torn last write cannot cause.
var errCorrupt = errors.New("checksum or length is wrong")

// errVersion reports a file of another format version.
var errVersion = errors.New("unknown format version")

func fileHeader() []byte {
	h := make([]byte, 0, fileHeaderSize)
	h = append(h, magic...)
	h = binary.LittleEndian.AppendUint32(h, formatVersion)
	return binary.LittleEndian.AppendUint32(h, crc32.Checksum(h, castagnoli))
}

// appendFrame appends a frame with the payload to out.
func appendFrame(out, payload []byte) ([]byte, error) {
	if len(payload) > maxPayload {
		return nil, fmt.Errorf("disk: a batch of %d bytes exceeds the limit of %d; write smaller records", len(payload), maxPayload)
	}
	start := len(out)
	out = binary.LittleEndian.AppendUint32(out, uint32(len(payload)))
	out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(payload, castagnoli))
	out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(out[start:], castagnoli))
	return append(out, payload...), nil
}

// appendRecord appends an encoded record to a payload.
func appendRecord(payload, record []byte) []byte {
	payload = binary.LittleEndian.AppendUint32(payload, uint32(len(record)))
	return append(payload, record...)
}

// readError is a failure to read a file, as opposed to a damaged content.
type readError struct{ err error }

func (e *readError) Error() string { return e.err.Error() }

// readFile passes the records of a file of a size to apply, which must not keep them. It returns the
// length of the intact part; the bytes after it are a torn last write. With an error it returns
// the offset of the damaged frame. It holds one frame in memory, or all bytes after a damaged one.
func readFile(r io.Reader, size int64, apply func(record []byte) error) (int64, error) {
	intact, err := readHeader(r, size)
	if err != nil || intact == 0 {
		return 0, err
	}
	var frame []byte
	for intact < size {
		var ok bool
		if frame, ok, err = readFrame(r, size-intact, frame[:0]); err != nil {
			return intact, err
		}
		if !ok {
			return intact, checkTornTail(r, size-intact, frame)
		}
		if err := readRecords(frame[frameHeaderSize:], apply); err != nil {
			return intact, err
		}
		intact += int64(len(frame))
	}
	return intact, nil
}

// readHeader returns the size of the header, or 0 for a file whose creation was
// interrupted. A file with more content had a synced header, so damage to the
// header is corruption.
func readHeader(r io.Reader, size int64) (int64, error) {
	if size < fileHeaderSize {
		return 0, nil
	}
	got := make([]byte, fileHeaderSize)
	if _, err := io.ReadFull(r, got); err != nil {
		return 0, &readError{err}
	}
	if bytes.Equal(got, fileHeader()) {
		return fileHeaderSize, nil
	}
	if allZero(got) {
		rest, err := io.ReadAll(r)
		if err != nil {
			return 0, &readError{err}
		}
		if allZero(rest) {
			return 0, nil
		}
	}
	sum := binary.LittleEndian.Uint32(got[12:])
	if string(got[:8]) == magic && sum == crc32.Checksum(got[:12], castagnoli) {
		return 0, fmt.Errorf("%w %d, this program reads version %d", errVersion, binary.LittleEndian.Uint32(got[8:]), formatVersion)
	}
	return 0, errCorrupt
}

// readFrame reads the next frame into buffer, whose content it replaces, and reports whether the
// frame is intact. Otherwise it returns what it has read: no more than the frame.
func readFrame(r io.Reader, remaining int64, buffer []byte) ([]byte, bool, error) {
	buffer, err := readMore(r, buffer, min(frameHeaderSize, remaining))
	if err != nil {
		return buffer, false, err
	}
	n, ok := frameLength(buffer)
	if !ok || int64(n) > remaining-frameHeaderSize {
		return buffer, false, nil
	}
	if buffer, err = readMore(r, buffer, int64(n)); err != nil {
		return buffer, false, err
	}
	return buffer, isIntact(buffer), nil
}

// readMore appends the next n bytes to buffer.
func readMore(r io.Reader, buffer []byte, n int64) ([]byte, error) {
	start := len(buffer)
	buffer = slices.Grow(buffer, int(n))[:start+int(n)]
	if _, err := io.ReadFull(r, buffer[start:]); err != nil {
		return buffer[:start], &readError{err}
	}
	return buffer, nil
}

// checkTornTail returns an error unless a damaged frame is a torn last write. read is what was read
// of the remaining bytes.
func checkTornTail(r io.Reader, remaining int64, read []byte) error {
	if n, ok := frameLength(read); ok {
		if frameHeaderSize+int64(n) >= remaining {
			return nil
		}
		return errCorrupt
	}
	tail, err := readMore(r, read, remaining-int64(len(read)))
	switch {
	case err != nil:
		return err
	case tornTail(tail):
		return nil
	default:
		return errCorrupt
	}
}

// frameLength returns the payload length in a frame header, and whether the
// header is intact.
func frameLength(data []byte) (int, bool) {
	if len(data) < frameHeaderSize {
		return 0, false
	}
	n := binary.LittleEndian.Uint32(data)
	sum := binary.LittleEndian.Uint32(data[8:])
	return int(n), n > 0 && n <= maxPayload && sum == crc32.Checksum(data[:8], castagnoli)
}

// isIntact reports whether data begins with a whole frame whose checksums match.
func isIntact(data []byte) bool {
	n, ok := frameLength(data)
	if !ok || n > len(data)-frameHeaderSize {
		return false
	}
	payload := data[frameHeaderSize : frameHeaderSize+n]
	return crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(data[4:])
}

// tornTail reports whether data, which starts with a damaged frame header, is a torn last write: no
// intact frame may follow.
func tornTail(data []byte) bool {
	for i := 1; i+frameHeaderSize <= len(data); i++ {
		if isIntact(data[i:]) {
			return false
		}
	}
	return true
}

// readRecords passes the records of a payload to apply.
func readRecords(payload []byte, apply func([]byte) error) error {
	for len(payload) > 0 {
		if len(payload) < lengthSize {
			return errCorrupt
		}
		n := int(binary.LittleEndian.Uint32(payload))
		payload = payload[lengthSize:]
		if n > len(payload) {
			return errCorrupt
		}
		if err := apply(payload[:n]); err != nil {
			return err
		}
		payload = payload[n:]
	}
	return nil
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
