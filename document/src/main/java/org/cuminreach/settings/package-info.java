/** Reading of JSON with comments, where every fault is found in one pass and named by its path. */
package org.cuminreach.settings;
