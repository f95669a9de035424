package token

import (
	"encoding/json"

	"github.com/crocusshore/crocusshore/model"
)

// Transaction identifies an interactive transaction, with the VM that owns its connection and the key that began it.
type Transaction struct {
	ID       string
	VM       model.VMID
	Route    model.RouteName
	Group    model.GroupName
	Instance model.InstanceName
	Term     model.Term
	Team     model.TeamName
	Key      model.KeyID
}

func (t Transaction) encode() ([]byte, error) { return json.Marshal(t) }

func decodeTransaction(body []byte) (Transaction, error) {
	var transaction Transaction
	err := json.Unmarshal(body, &transaction)
	return transaction, err
}
