// Package window decides how many statements a VM runs at an instance at once. Several VMs send to the same slots without knowing of each other,
// so each derives its window from how the instance answers.
package window
