package admit

import "time"

const (
	// firstBuffer is the first buffer for a body. Most submissions fit.
	firstBuffer = 4 << 10
	// bodyGrace is how long a body may take before its rate counts, and minBodyRate the
	// bytes per second that must have arrived for each second after that. A client that
	// sends four bytes a second holds its memory for 3 s instead of 5 s.
	bodyGrace   = 3 * time.Second
	minBodyRate = 1 << 10
)

// NextBuffer returns the size of the buffer for a body that has filled one of the given
// size. It doubles, so the memory follows what has arrived, and never exceeds what was
// announced (negative if unknown) or may arrive.
func NextBuffer(size int, announced int64, limit int) int {
	next := max(firstBuffer, 2*size)
	if announced >= int64(size) {
		// One byte more lets the end of the body be read without another buffer.
		next = min(next, int(min(announced, int64(limit)))+1)
	}
	return max(size+1, min(next, limit+1))
}

// BodyDeadline returns when the next bytes of a body must have arrived, of which received
// bytes have arrived. A body must be complete before end, when its request times out.
func BodyDeadline(began time.Time, received int, end time.Time) time.Time {
	earned := time.Duration(received) * time.Second / minBodyRate
	if at := began.Add(bodyGrace + earned); at.Before(end) {
		return at
	}
	return end
}

const (
	// decodeFactor is how many times its own size a submission takes while it is decoded:
	// a copy of its steps, and lists of numbers that take 2 bytes in JSON and 8 decoded.
	decodeFactor = 8
	// decodeShare is the part of the memory of all requests that decoding may use.
	decodeShare = 4
)

// DecodeMemory returns the memory for all submissions that are decoded at a time. It is
// enough for one of the largest size.
func (l Limits) DecodeMemory(maxBody int) Bytes {
	return max(l.Memory/decodeShare, DecodeNeed(maxBody))
}

// DecodeNeed returns the memory that a submission of a size takes while it is decoded.
func DecodeNeed(size int) Bytes {
	return Bytes(size) * decodeFactor
}
