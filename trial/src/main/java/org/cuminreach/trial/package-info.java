/** Experiments, benchmarks and trials that run on one machine; not part of the product. */
package org.cuminreach.trial;
