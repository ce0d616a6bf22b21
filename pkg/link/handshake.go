package link

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	protocolVersion  = 1
	nonceBytes       = 16
	handshakeTimeout = 5 * time.Second
)

// Identity is how a process presents itself to its peers.
type Identity struct {
	Role   wire.Role
	VM     ident.VM
	Secret []byte // shared by all processes of the system
	// Liveness configures the detection of unresponsive peers; the zero value
	// selects the default.
	Liveness Liveness

	now func() time.Time // reads the clock; time.Now if nil
}

// handshake exchanges hellos and proofs. Both sides prove that they know the
// secret. A recorded handshake cannot be replayed, because the proofs cover
// fresh nonces.
func handshake(nc net.Conn, r *bufio.Reader, self Identity, dialer bool) (wire.Hello, error) {
	if err := nc.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return wire.Hello{}, errors.Trace(err)
	}
	hello := wire.Hello{Protocol: protocolVersion, Role: self.Role, VM: self.VM, Nonce: make([]byte, nonceBytes), NewestKind: uint8(kindLimit - 1)}
	if _, err := rand.Read(hello.Nonce); err != nil {
		return wire.Hello{}, errors.Trace(err)
	}
	peer, err := exchange(nc, r, &hello, dialer)
	if err != nil {
		return wire.Hello{}, errors.Trace(err)
	}
	if err := prove(nc, r, self.Secret, hello, peer, dialer); err != nil {
		return wire.Hello{}, errors.Trace(err)
	}
	return peer, errors.Trace(nc.SetDeadline(time.Time{}))
}

func exchange(nc net.Conn, r *bufio.Reader, hello *wire.Hello, dialer bool) (wire.Hello, error) {
	var peer wire.Hello
	send := func() error { return writeMessage(nc, KindHello, hello) }
	receive := func() error { return readMessage(r, KindHello, &peer) }
	if err := inOrder(dialer, send, receive); err != nil {
		return peer, errors.Trace(err)
	}
	if peer.Protocol != protocolVersion {
		return peer, errors.NotSupportedf("protocol version %d", peer.Protocol)
	}
	if len(peer.Nonce) != nonceBytes {
		return peer, errors.NotValidf("nonce length of %d bytes", len(peer.Nonce))
	}
	return peer, nil
}

func prove(nc net.Conn, r *bufio.Reader, secret []byte, own, peer wire.Hello, dialer bool) error {
	send := func() error {
		return writeMessage(nc, KindProof, &wire.Proof{MAC: mac(secret, own, peer, dialer)})
	}
	receive := func() error {
		var proof wire.Proof
		if err := readMessage(r, KindProof, &proof); err != nil {
			return err
		}
		if !hmac.Equal(proof.MAC, mac(secret, peer, own, !dialer)) {
			return errors.Unauthorizedf("peer %q", peer.VM)
		}
		return nil
	}
	return inOrder(dialer, send, receive)
}

func inOrder(dialer bool, send, receive func() error) error {
	first, second := send, receive
	if !dialer {
		first, second = receive, send
	}
	if err := first(); err != nil {
		return err
	}
	return second()
}

func mac(secret []byte, prover, verifier wire.Hello, dialer bool) []byte {
	h := hmac.New(sha256.New, secret)
	side := byte(0)
	if dialer {
		side = 1
	}
	h.Write([]byte{side, byte(prover.Role), byte(len(prover.VM))})
	h.Write([]byte(prover.VM))
	h.Write(prover.Nonce)
	h.Write(verifier.Nonce)
	return h.Sum(nil)
}

func writeMessage(nc net.Conn, kind Kind, m Message) error {
	b, err := AppendFrame(nil, kind, 0, m)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = nc.Write(b)
	return errors.Trace(err)
}

func readMessage(r *bufio.Reader, kind Kind, m Decodable) error {
	f, err := ReadFrame(r)
	if err != nil {
		return errors.Trace(err)
	}
	if f.Kind != kind {
		return errors.NotValidf("frame kind %d during handshake", f.Kind)
	}
	_, err = m.UnmarshalMsg(f.Body)
	return errors.Trace(err)
}
