package stand

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/crocusshore/crocusshore/model"
)

// Proof returns the message authentication code of an instance for the rows of a statement. It begins with the name of the instance.
func Proof(instance model.InstanceName, id model.RequestID, rows []string) string {
	var signed strings.Builder
	for _, part := range append([]string{string(instance), string(id)}, rows...) {
		signed.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	sum := sha256.Sum256([]byte(signed.String()))
	return string(instance) + "." + hex.EncodeToString(sum[:8])
}

// CheckProof reports whether a proof is that of any instance for the rows of a statement.
func CheckProof(proof string, id model.RequestID, rows []string) bool {
	instance, _, found := strings.Cut(proof, ".")
	return found && proof == Proof(model.InstanceName(instance), id, rows)
}
