package daemon

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"canvasroute/internal/settings"
)

// optionalKeys are the paths of the keys that a reloaded file may omit even if the current configuration has them. "[]"
// stands for each element of a list.
var optionalKeys = map[string]bool{
	"known":                            true,
	"mgmt":                             true,
	"peers_all":                        true,
	"settings.operations[].aimStretch": true,
	"settings.prices.fleet":            true,
}

// elementNameKey is the key by which an element of a list, such as an operation, is recognized in another file.
const elementNameKey = "name"

// jsonType is the type of a JSON value, as named in errors.
type jsonType string

// The values of jsonType.
const (
	anyType     jsonType = "" // the type is not known
	objectType  jsonType = "an object"
	listType    jsonType = "a list"
	stringType  jsonType = "a string"
	numberType  jsonType = "a number"
	booleanType jsonType = "true or false"
)

// typeOf returns the type of a value other than null.
func typeOf(v *fastjson.Value) jsonType {
	switch v.Type() {
	case fastjson.TypeObject:
		return objectType
	case fastjson.TypeArray:
		return listType
	case fastjson.TypeString:
		return stringType
	case fastjson.TypeNumber:
		return numberType
	case fastjson.TypeTrue, fastjson.TypeFalse:
		return booleanType
	}
	return anyType
}

// keyTree describes the type of a value in a configuration file, and which keys it has. A key whose value is null
// counts as missing.
type keyTree struct {
	valueType jsonType
	fields    map[string]*keyTree // by key, without optionalKeys; empty unless the value is an object
	elements  []*keyTree          // empty unless the value is a list
	name      string              // the string at elementNameKey, "" if there is none
}

// newKeyTree returns the keyTree of the value at a path, in which "[]" stands for the index of a list's element.
func newKeyTree(path string, v *fastjson.Value) *keyTree {
	tree := &keyTree{valueType: typeOf(v), fields: map[string]*keyTree{}}
	switch tree.valueType {
	case objectType:
		tree.name = string(v.GetStringBytes(elementNameKey))
		v.GetObject().Visit(func(key []byte, field *fastjson.Value) {
			fieldPath := joinPath(path, string(key))
			if !optionalKeys[fieldPath] && field.Type() != fastjson.TypeNull {
				tree.fields[string(key)] = newKeyTree(fieldPath, field)
			}
		})
	case listType:
		for _, element := range v.GetArray() {
			tree.elements = append(tree.elements, newKeyTree(path+"[]", element))
		}
	}
	return tree
}

func joinPath(path, key string) string { return strings.TrimPrefix(path+"."+key, ".") }

// checkComplete returns a *settings.KeyError if next, the value at a path of the next file, is of another type than the
// current value, or lacks a key that the current value has. The check prevents an incomplete or damaged file from
// silently resetting keys to their defaults.
//
// Elements of lists may appear and vanish. An element must have the keys of the current element of the same name. If
// there is none, it must have the keys that all current elements have.
func (current *keyTree) checkComplete(path string, next *keyTree) error {
	if current.valueType != anyType && next.valueType != current.valueType {
		return &settings.KeyError{Key: path, Problem: fmt.Sprintf("must be %s, as in the current configuration", current.valueType)}
	}
	for _, key := range slices.Sorted(maps.Keys(current.fields)) {
		fieldPath := joinPath(path, key)
		field := next.fields[key]
		if field == nil {
			return &settings.KeyError{Key: fieldPath, Problem: "missing, but set in the current configuration"}
		}
		if err := current.fields[key].checkComplete(fieldPath, field); err != nil {
			return err
		}
	}
	common := commonKeys(current.elements)
	for n, element := range next.elements {
		expected := current.elementNamed(element.name)
		if expected == nil {
			expected = common
		}
		if err := expected.checkComplete(fmt.Sprintf("%s[%d]", path, n), element); err != nil {
			return err
		}
	}
	return nil
}

// elementNamed returns the element of a list with a name, or nil if there is none.
func (current *keyTree) elementNamed(name string) *keyTree {
	n := slices.IndexFunc(current.elements, func(element *keyTree) bool { return name != "" && element.name == name })
	if n < 0 {
		return nil
	}
	return current.elements[n]
}

// commonKeys returns a keyTree with the keys that all of the trees have, and with their type if it is the same.
func commonKeys(trees []*keyTree) *keyTree {
	common := &keyTree{fields: map[string]*keyTree{}}
	if len(trees) == 0 {
		return common
	}
	hasOtherType := func(tree *keyTree) bool { return tree.valueType != trees[0].valueType }
	if !slices.ContainsFunc(trees, hasOtherType) {
		common.valueType = trees[0].valueType
	}
	for key := range trees[0].fields {
		var values []*keyTree
		for _, tree := range trees {
			if field := tree.fields[key]; field != nil {
				values = append(values, field)
			}
		}
		if len(values) == len(trees) {
			common.fields[key] = commonKeys(values)
		}
	}
	for _, tree := range trees {
		common.elements = append(common.elements, tree.elements...)
	}
	return common
}
