/** JMH benchmarks of the decisions on the path of a call. */
package org.cuminreach.trial.benchmark;
