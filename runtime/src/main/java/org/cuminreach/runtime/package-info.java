/** What both binaries share around their work; see the packages below. */
package org.cuminreach.runtime;
