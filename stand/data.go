package stand

import (
	"strconv"

	"github.com/crocusshore/crocusshore/model"
)

// data is the content of a database: the lines of each key.
type data map[string][]string

func badStatement(detail string) error {
	return &model.UpstreamError{Code: model.CodeBadStatement, Detail: detail}
}

// checkStatement returns an error if a statement cannot run.
func checkStatement(s model.Statement) error {
	needed, writes := 1, true
	switch s.Text {
	case "get", "count":
		writes = false
	case "put", "append", "reserve":
		needed = 2
	case "clear":
	default:
		return badStatement("unknown statement " + strconv.Quote(s.Text) + "; use get, count, put, append, reserve or clear")
	}
	if len(s.Arguments) != needed {
		return badStatement(s.Text + " takes " + strconv.Itoa(needed) + " arguments")
	}
	if writes && !s.Write {
		return badStatement(s.Text + " writes; send it as a write")
	}
	return nil
}

// run runs a checked statement and returns its rows.
func (d data) run(s model.Statement) []string {
	key := s.Arguments[0]
	switch s.Text {
	case "get":
		return append([]string(nil), d[key]...)
	case "count":
		return []string{strconv.Itoa(len(d[key]))}
	case "put":
		d[key] = []string{s.Arguments[1]}
	case "append":
		d[key] = append(d[key][:len(d[key]):len(d[key])], s.Arguments[1])
	case "clear":
		delete(d, key)
	case "reserve":
		if len(d[key]) > 0 {
			return []string{"taken", d[key][0]}
		}
		d[key] = []string{s.Arguments[1]}
		return []string{"reserved", s.Arguments[1]}
	}
	return nil
}

// clone returns a copy that a transaction can change; it shares the lines, which are never changed in place.
func (d data) clone() data {
	copied := make(data, len(d))
	for key, lines := range d {
		copied[key] = lines
	}
	return copied
}
