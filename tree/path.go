package tree

import (
	"strings"

	"github.com/crocusshore/crocusshore/model"
)

func (p NodePath) split() (section, name string) {
	section, name, _ = strings.Cut(string(p), "/")
	return section, name
}

func groupName(p NodePath) (model.GroupName, bool) {
	name, ok := strings.CutPrefix(string(p), groupsPrefix)
	return model.GroupName(name), ok
}
