package mirror

import (
	"bytes"
	"compress/flate"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// The configuration of a large deployment is tens of kilobytes of repetitive names, and every
// change of it is sent to every node: DEFLATE compresses it to a sixth or less.
const (
	// packThreshold is the size in bytes from which on items are compressed.
	packThreshold = 2 << 10
	// maxUnpackedBytes bounds the size of unpacked data that a peer can cause.
	maxUnpackedBytes = 32 << 20
)

func pack(items []*peerpb.MirrorItem) ([]byte, error) {
	plain, err := proto.Marshal(&peerpb.MirrorItems{Items: items})
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	writer, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(plain); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func unpack(packed []byte) ([]*peerpb.MirrorItem, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	plain, err := io.ReadAll(io.LimitReader(reader, maxUnpackedBytes))
	if err != nil {
		return nil, err
	}
	items := &peerpb.MirrorItems{}
	if err := proto.Unmarshal(plain, items); err != nil {
		return nil, err
	}
	return items.GetItems(), nil
}
