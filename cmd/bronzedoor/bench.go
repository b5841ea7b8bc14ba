package main

// demoCmd runs the demo.
type demoCmd struct{}

// benchCmd runs experiments.
type benchCmd struct{}
