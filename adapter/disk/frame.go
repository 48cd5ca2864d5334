package disk

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
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

// readFile passes the records of a file to apply. It returns the length of the
// intact part; the bytes after it are a torn last write. With an error it returns
// the offset of the damaged frame.
func readFile(data []byte, apply func(record []byte) error) (int, error) {
	intact, err := checkHeader(data)
	if err != nil || intact == 0 {
		return 0, err
	}
	for intact < len(data) {
		payload, ok := readFrame(data[intact:])
		if !ok {
			if tornTail(data[intact:]) {
				return intact, nil
			}
			return intact, errCorrupt
		}
		if err := readRecords(payload, apply); err != nil {
			return intact, err
		}
		intact += frameHeaderSize + len(payload)
	}
	return intact, nil
}

// checkHeader returns the size of the header, or 0 for a file whose creation was
// interrupted. A file with more content had a synced header, so damage to the
// header is corruption.
func checkHeader(data []byte) (int, error) {
	want := fileHeader()
	if len(data) < fileHeaderSize || allZero(data) {
		return 0, nil
	}
	got := data[:fileHeaderSize]
	if bytes.Equal(got, want) {
		return fileHeaderSize, nil
	}
	sum := binary.LittleEndian.Uint32(got[12:])
	if string(got[:8]) == magic && sum == crc32.Checksum(got[:12], castagnoli) {
		return 0, fmt.Errorf("%w %d, this program reads version %d", errVersion, binary.LittleEndian.Uint32(got[8:]), formatVersion)
	}
	return 0, errCorrupt
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

// readFrame returns the payload of the first frame of data, and whether the frame
// is intact.
func readFrame(data []byte) ([]byte, bool) {
	n, ok := frameLength(data)
	if !ok || n > len(data)-frameHeaderSize {
		return nil, false
	}
	payload := data[frameHeaderSize : frameHeaderSize+n]
	return payload, crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(data[4:])
}

// tornTail reports whether data, which starts with a damaged frame, is a torn
// last write. With an intact frame header the payload must extend to the end of
// the data or beyond. Otherwise no intact frame may follow.
func tornTail(data []byte) bool {
	if n, ok := frameLength(data); ok {
		return frameHeaderSize+n >= len(data)
	}
	for i := 1; i+frameHeaderSize <= len(data); i++ {
		if _, ok := readFrame(data[i:]); ok {
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
