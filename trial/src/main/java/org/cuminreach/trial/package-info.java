/** Tools to try cuminreach on one machine; no part of the product. */
package org.cuminreach.trial;
