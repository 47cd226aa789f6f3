/** JMH benchmarks of admission, routing and configuration distribution. */
package org.cuminreach.trial.benchmark;
