// Command heatherport is a layer-4 load balancer whose fleet of balancers
// accepts packets sprayed over all of them.
package main

func main() {}
