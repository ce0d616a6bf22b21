// Package link carries msgpack messages between the system's own processes.
// Each pair of processes shares one multiplexed, authenticated TCP connection.
package link

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/juju/errors"
	"github.com/tinylib/msgp/msgp"
)

// Kind is the type of a frame's message.
type Kind uint8

// The kinds of frames. Their values are part of the protocol.
const (
	KindHello Kind = iota + 1
	KindProof
	KindCancel
	KindFault
	KindEnd
	KindSubmit
	KindEvent
	KindHeartbeat
	KindHeartbeatAck
	KindDigest
	KindDigestAck
	KindConfigPull
	KindConfigDelta
	KindConfigAck
	KindLoadRequest
	KindLoadGrant
	KindLoadDone
	KindClaim
	KindClaimReply
	KindSettle
	KindSettleReply
	KindAttemptQuery
	KindAttemptReply
	KindPing
	KindEngineSetup
	KindGrantRequest
	KindGrantReply
	KindGrantFirstEvent
	KindPauseReport
	KindRequestLost
	KindCrashReport
	KindTargetNotice
	KindPermitRequest
	KindPermitReply
	KindRunQuery
	KindRunReply
	KindQuotaLimits
	KindQuotaRequest
	KindQuotaReply
	KindPaceReport
	KindGrantPreview
	KindGrantPreviewReply
	KindAccountGrantRequest
	KindStreamOrigin
	KindOriginQuery
	KindOriginReply
	KindProcessGrant
	kindLimit
)

// MaxFrameBytes is the maximum size of a frame's message.
const MaxFrameBytes = 4 << 20

const headerBytes = 9

// Message is a generated wire type that can be encoded.
type Message interface {
	msgp.Marshaler
	msgp.Sizer
}

// Decodable is a generated wire type that can be decoded.
type Decodable interface {
	msgp.Unmarshaler
}

// Frame is one message of one stream.
type Frame struct {
	Kind   Kind
	Stream uint32
	Body   []byte
}

// ReadFrame reads one frame. It returns a NotValid error if the frame is too
// large or of an unknown kind, and the reader's error if it is truncated.
func ReadFrame(r *bufio.Reader) (Frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, errors.Trace(err)
	}
	size := binary.BigEndian.Uint32(header[0:4])
	if size > MaxFrameBytes {
		return Frame{}, errors.NotValidf("frame size of %d bytes", size)
	}
	kind := Kind(header[4])
	if kind == 0 || kind >= kindLimit {
		return Frame{}, errors.NotValidf("frame kind %d", kind)
	}
	body, err := readBody(r, int(size))
	if err != nil {
		return Frame{}, errors.Trace(err)
	}
	return Frame{Kind: kind, Stream: binary.BigEndian.Uint32(header[5:9]), Body: body}, nil
}

const bodyStepBytes = 64 << 10

// readBody reads a body of size bytes. The buffer grows as bytes arrive, so
// that a header alone cannot cause a large allocation.
func readBody(r io.Reader, size int) ([]byte, error) {
	body := make([]byte, min(size, bodyStepBytes))
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	for len(body) < size {
		step := make([]byte, min(size-len(body), bodyStepBytes))
		if _, err := io.ReadFull(r, step); err != nil {
			return nil, err
		}
		body = append(body, step...)
	}
	return body, nil
}

// AppendFrame appends the encoding of one frame to b. It returns a NotValid
// error if the message exceeds MaxFrameBytes.
func AppendFrame(b []byte, kind Kind, stream uint32, m Message) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0, 0, 0, byte(kind))
	b = binary.BigEndian.AppendUint32(b, stream)
	if m != nil {
		var err error
		if b, err = m.MarshalMsg(b); err != nil {
			return b[:start], errors.Trace(err)
		}
	}
	size := len(b) - start - headerBytes
	if size > MaxFrameBytes {
		return b[:start], errors.NotValidf("message size of %d bytes", size)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(size))
	return b, nil
}
